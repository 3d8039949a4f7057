#pragma once

#include "app/command.h"
#include "demo/demo_options.h"

namespace comfreypass::app {

/** Runs a whole fleet with stand-ins in this process and checks what must always hold. */
class demo_command final : public command
{
public:
    static constexpr const char *footer
        = "Everything runs on loopback in this process. During the load a failure domain goes out "
          "and\n"
          "comes back, an engine leaves, and one node is stopped gracefully.\n"
          "Examples:\n"
          "  comfreypass demo\n"
          "  comfreypass demo --sheet examples/acib-rutas.sheet.json --rate 80 --seed 7\n"
          "Exit codes:\n"
          "  0  every invariant held\n"
          "  1  an invariant was broken, or the fleet did not start\n"
          "  2  a sheet that cannot be read or is not valid";

    void addOptions(CLI::App &options) override;
    int run(console &terminal) override;

private:
    demo::demo_options m_options;
    std::int64_t m_seconds = 12;
};

} // namespace comfreypass::app
