#pragma once

#include "app/command.h"

#include <cstdint>
#include <string>
#include <vector>

namespace comfreypass::app {

/** Shows the burn rate of the error budget from saved metrics of several nodes. */
class report_command final : public command
{
public:
    static constexpr const char *footer
        = "Each file is a saved response to GET /metrics of one node; at least two are needed per\n"
          "node. A request counts as good if it completed before its deadline. An alert fires if\n"
          "the burn rate exceeds its threshold in both a long and a short window.\n"
          "Examples:\n"
          "  curl -s http://127.0.0.1:8301/metrics > entry-1.0900.prom\n"
          "  comfreypass report entry-1.0900.prom entry-1.1000.prom\n"
          "  comfreypass report --output html --objective 0.995 *.prom > burn.html\n"
          "Exit codes:\n"
          "  0  no page alert is firing\n"
          "  2  a snapshot cannot be read, or no node has two\n"
          "  4  at least one page alert is firing";

    void addOptions(CLI::App &options) override;
    int run(console &terminal) override;

private:
    enum class report_format : std::uint8_t { Table, Json, Html };

    std::vector<std::string> m_paths;
    double m_objective = 0.99;
    report_format m_format = report_format::Table;
};

} // namespace comfreypass::app
