#pragma once

#include "app/command.h"

#include <cstdint>
#include <string>
#include <vector>

namespace comfreypass::app {

/** Shows how fast the error budget is used, from saved metrics of several nodes. */
class report_command final : public command
{
public:
    static constexpr const char *footer
        = "Each file is a saved answer of GET /metrics of one node; save each node at least "
          "twice.\n"
          "A request counts as good if it was answered whole before its deadline. An alert\n"
          "fires if the burn rate exceeds its threshold in a long and a short window.\n"
          "Examples:\n"
          "  curl -s http://127.0.0.1:8301/metrics > entry-1.0900.prom\n"
          "  comfreypass report entry-1.0900.prom entry-1.1000.prom\n"
          "  comfreypass report --output html --objective 0.995 *.prom > burn.html\n"
          "Exit codes:\n"
          "  0  no page alert fires\n"
          "  2  a snapshot cannot be read, or no node has two\n"
          "  4  at least one page alert fires";

    void addOptions(CLI::App &options) override;
    int run(console &terminal) override;

private:
    enum class report_format : std::uint8_t { Table, Json, Html };

    std::vector<std::string> m_paths;
    double m_objective = 0.99;
    report_format m_format = report_format::Table;
};

} // namespace comfreypass::app
