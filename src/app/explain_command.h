#pragma once

#include "app/command.h"
#include "app/output_format.h"

#include <cstdint>
#include <string>
#include <vector>

namespace comfreypass::app {

/**
 * Tells why a request went as it did, from the logs of the nodes; or where a model request would
 * go, from a sheet and a snapshot of the instances and their load.
 */
class explain_command final : public command
{
public:
    static constexpr const char *footer
        = "With --id, the logs are read from files, or from the standard input if none is given, "
          "in\n"
          "any order. What a node had learned by then is listed under its own clock.\n"
          "The snapshot is the instance list's document; it may have a member \"loads\" with an\n"
          "object {engine, epoch, cold, running} for each engine that has reported. One scheduler\n"
          "with all votes is assumed, and engines that have shown that they bear all their slots\n"
          "unless their load says cold.\n"
          "Examples:\n"
          "  comfreypass explain --sheet examples/acib-rutas.sheet.json \\\n"
          "      --snapshot docs/examples/acib-rutas.snapshot.json \\\n"
          "      --team permisos --model asesor-14b\n"
          "  comfreypass explain --id 31542f2905670373 node-1.log node-2.log\n"
          "Exit codes:\n"
          "  0  at least one engine could take the request, or the logs name it\n"
          "  1  no engine could take it, the team may not make it, or no line names it\n"
          "  2  a file that cannot be read or is not valid";

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
