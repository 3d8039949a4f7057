#include "sheet/json_pointer.h"

namespace comfreypass::sheet {

std::string childPointer(std::string_view parent, std::string_view key)
{
    std::string pointer(parent);
    pointer += '/';
    for (const char character : key) {
        if (character == '~')
            pointer += "~0";
        else if (character == '/')
            pointer += "~1";
        else
            pointer += character;
    }
    return pointer;
}

} // namespace comfreypass::sheet
