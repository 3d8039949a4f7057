#pragma once

#include "app/command.h"
#include "app/output_format.h"

#include <cstdint>
#include <string>
#include <vector>

namespace comfreypass::app {

/**
 * Explains the outcome of a request from the logs of the nodes, or shows how a model request would
 * be routed, given a sheet and a snapshot of the instances and their load.
 */
class explain_command final : public command
{
public:
    static constexpr const char *footer
        = "With --id, logs are read in any order from files, or from the standard input if no "
          "file\n"
          "is given. State changes known to a node before the request have the node's timestamps.\n"
          "The snapshot is a document of the instance list; it may have a member \"loads\" with "
          "an\n"
          "object {engine, epoch, cold, running} for each engine that has reported. The preview\n"
          "assumes one scheduler with all votes, and engines that are past their ramp and accept\n"
          "requests in all their slots unless their load says cold.\n"
          "Examples:\n"
          "  comfreypass explain --sheet examples/acib-rutas.sheet.json \\\n"
          "      --snapshot docs/examples/acib-rutas.snapshot.json \\\n"
          "      --team permisos --model asesor-14b\n"
          "  comfreypass explain --id 31542f2905670373 node-1.log node-2.log\n"
          "Exit codes:\n"
          "  0  at least one engine could accept the request, or the logs contain its id\n"
          "  1  no engine could accept it, the team may not send it, or no line contains its id\n"
          "  2  a file cannot be read or is invalid";

    void addOptions(CLI::App &options) override;
    int run(console &terminal) override;

private:
    int explainRouting(console &terminal);
    int explainRequest(console &terminal);

    std::string m_requestId;
    std::vector<std::string> m_logPaths;
    std::string m_sheetPath;
    std::string m_snapshotPath;
    std::string m_team;
    std::string m_model;
    int m_tier = -1;
    std::uint32_t m_promptTokens = 300;
    std::uint32_t m_responseTokens = 100;
    std::int64_t m_deadlineMs = 10'000;
    output_format m_format = output_format::Table;
};

} // namespace comfreypass::app
