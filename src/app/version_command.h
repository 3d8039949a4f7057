#pragma once

#include "app/command.h"

namespace comfreypass::app {

class version_command final : public command
{
public:
    static constexpr const char *footer = "Exit codes: 0";

    void addOptions(CLI::App &options) override;
    int run(console &terminal) override;
};

} // namespace comfreypass::app
