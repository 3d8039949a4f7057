#include "app/command_line.h"

int main(int argc, char **argv)
{
    auto terminal = comfreypass::app::console::standard();
    return comfreypass::app::runCommandLine({argv + 1, argv + argc}, terminal);
}
