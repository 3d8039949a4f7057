#include "app/console.h"

#include <unistd.h>

#include <array>
#include <cstddef>
#include <cstdlib>
#include <iostream>

namespace comfreypass::app {

namespace {

bool isSet(const char *variable)
{
    const char *value = std::getenv(variable);
    return value != nullptr && *value != '\0';
}

bool terminalHasColours()
{
    const char *terminal = std::getenv("TERM");
    const bool isDumb = terminal == nullptr || std::string_view(terminal) == "dumb";
    return isatty(STDOUT_FILENO) == 1 && !isDumb && !isSet("NO_COLOR");
}

} // namespace

console::console(std::ostream &out, std::ostream &err, bool useColours)
    : m_out(out), m_err(err), m_useColours(useColours)
{ }

console console::standard()
{
    return {std::cout, std::cerr, terminalHasColours()};
}

std::string console::coloured(std::string_view text, colour value) const
{
    static constexpr std::array<const char *, 3> sequences = {"\x1b[32m", "\x1b[33m", "\x1b[31m"};
    if (!m_useColours)
        return std::string(text);
    return sequences.at(static_cast<std::size_t>(value)) + std::string(text) + "\x1b[0m";
}

} // namespace comfreypass::app
