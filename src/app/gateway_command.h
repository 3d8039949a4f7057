#pragma once

#include "app/command.h"

#include <string>

namespace comfreypass::app {

/** Runs a gateway node on the users' platform until it has stopped. */
class gateway_command final : public command
{
public:
    static constexpr const char *footer
        = "Example: comfreypass gateway --settings node.json\n"
          "The environment variable COMFREYPASS_SETTINGS may set the settings path instead.\n"
          "On SIGTERM the node finishes open requests and leaves. A changed settings file is read\n"
          "within a second: new seeds are applied, other changes need a restart.\n"
          "Exit codes: 0 stopped, 1 a socket could not be opened, 2 invalid settings";

    void addOptions(CLI::App &options) override;
    int run(console &terminal) override;

private:
    std::string m_settingsPath;
};

} // namespace comfreypass::app
