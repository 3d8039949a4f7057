#pragma once

#include "app/command.h"

#include <string>

namespace comfreypass::app {

/** Runs one entry node until it has drained. */
class serve_command final : public command
{
public:
    static constexpr const char *footer
        = "SIGTERM or SIGINT begins a graceful shutdown: the node takes requests until no address\n"
          "answer that names it can be in use, finishes what it has, and exits.\n"
          "Examples:\n"
          "  comfreypass serve --settings examples/entry-1.settings.json\n"
          "Exit codes:\n"
          "  0  shut down after draining\n"
          "  1  a socket could not be opened, or another process runs under the node's name\n"
          "  2  settings that cannot be read or are not valid";

    void addOptions(CLI::App &options) override;
    int run(console &terminal) override;

private:
    std::string m_settingsPath;
};

} // namespace comfreypass::app
