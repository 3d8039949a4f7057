#pragma once

#include "app/command.h"

#include <string>

namespace comfreypass::app {

/** Runs a gateway node on the users' platform. */
class gateway_command final : public command
{
public:
    static constexpr const char *footer
        = "Example: comfreypass gateway --settings node.json\n"
          "The settings path may also come from the variable COMFREYPASS_SETTINGS.\n"
          "SIGTERM lets the node end what runs and leave. A changed settings file is noticed\n"
          "within a second; new seeds are taken from it, other changes need a restart.\n"
          "Exit codes: 0 stopped, 1 a socket could not be opened, 2 invalid settings";

    void addOptions(CLI::App &options) override;
    int run(console &terminal) override;

private:
    std::string m_settingsPath;
};

} // namespace comfreypass::app
