#include "app/version_command.h"

#include "app/exit_code.h"

#include <ostream>

namespace comfreypass::app {

void version_command::addOptions(CLI::App &) { }

int version_command::run(console &terminal)
{
    terminal.out() << "comfreypass " COMFREYPASS_VERSION "\n";
    return Success;
}

} // namespace comfreypass::app
