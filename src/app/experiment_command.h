#pragma once

#include "app/command.h"
#include "app/output_format.h"

#include <string>
#include <vector>

namespace comfreypass::app {

/** Simulates an installation in virtual time with the gateway's policy and with baselines. */
class experiment_command final : public command
{
public:
    static constexpr const char *footer
        = "The plan describes nodes, engines, requests, outages and loads; see\n"
          "docs/examples/busy-hour.plan.json. Nothing is sent over the network, and\n"
          "the results depend only on the plan.\n"
          "Policies: shipped, random, least-reported, two-choices, full-knowledge (an upper "
          "bound).\n"
          "Examples:\n"
          "  comfreypass experiment docs/examples/busy-hour.plan.json\n"
          "  comfreypass experiment --policy shipped --output json --plot goodput.svg plan.json\n"
          "Exit codes:\n"
          "  0  the simulation completed\n"
          "  1  the plot cannot be written\n"
          "  2  the plan cannot be read or is invalid";

    void addOptions(CLI::App &options) override;
    int run(console &terminal) override;

private:
    std::string m_planPath;
    std::string m_plotPath;
    std::vector<std::string> m_policies;
    output_format m_format = output_format::Table;
};

} // namespace comfreypass::app
