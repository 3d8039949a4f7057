#pragma once

#include "app/command.h"

#include <string>

namespace comfreypass::app {

/** Runs an entry node until it has drained. */
class serve_command final : public command
{
public:
    static constexpr const char *footer
        = "SIGTERM or SIGINT starts a graceful shutdown: the node accepts requests until every\n"
          "address response that lists it has expired, finishes open requests, and exits.\n"
          "Examples:\n"
          "  comfreypass serve --settings examples/entry-1.settings.json\n"
          "Exit codes:\n"
          "  0  shut down after draining\n"
          "  1  a socket could not be opened, or another process uses the node's name\n"
          "  2  the settings cannot be read or are invalid";

    void addOptions(CLI::App &options) override;
    int run(console &terminal) override;

private:
    std::string m_settingsPath;
};

} // namespace comfreypass::app
