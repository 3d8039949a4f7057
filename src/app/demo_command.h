#pragma once

#include "app/command.h"
#include "demo/demo_options.h"

namespace comfreypass::app {

/** Runs a fleet with stand-ins in this process and checks its invariants. */
class demo_command final : public command
{
public:
    static constexpr const char *footer
        = "Everything runs on loopback in this process. Under load, a failure domain is taken\n"
          "out of service and restored, an engine leaves, and one node shuts down gracefully.\n"
          "Examples:\n"
          "  comfreypass demo\n"
          "  comfreypass demo --sheet examples/acib-rutas.sheet.json --rate 80 --seed 7\n"
          "Exit codes:\n"
          "  0  every invariant held\n"
          "  1  an invariant was violated, or the fleet did not start\n"
          "  2  the sheet cannot be read or is invalid";

    void addOptions(CLI::App &options) override;
    int run(console &terminal) override;

private:
    demo::demo_options m_options;
    std::int64_t m_seconds = 12;
};

} // namespace comfreypass::app
