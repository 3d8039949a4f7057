#include "app/command_table.h"

#include "app/check_command.h"
#include "app/demo_command.h"
#include "app/diff_command.h"
#include "app/experiment_command.h"
#include "app/explain_command.h"
#include "app/gateway_command.h"
#include "app/report_command.h"
#include "app/serve_command.h"
#include "app/version_command.h"

#include <array>

namespace comfreypass::app {

namespace {

template<class Command>
std::unique_ptr<command> make()
{
    return std::make_unique<Command>();
}

// A new subcommand needs an entry here and a file of its own.
constexpr std::array rows = {
    command_row{"serve", "Run an entry node", serve_command::footer, make<serve_command>},
    command_row{"gateway", "Run a gateway node on the platform", gateway_command::footer,
                make<gateway_command>},
    command_row{"demo", "Run a fleet with stand-ins in one process and check its invariants",
                demo_command::footer, make<demo_command>},
    command_row{"check", "Validate sheets and settings; shows every error with its JSON pointer",
                check_command::footer, make<check_command>},
    command_row{"diff", "Show the effects of replacing one sheet by another", diff_command::footer,
                make<diff_command>},
    command_row{"report", "Show the error budget burn rate from saved metrics",
                report_command::footer, make<report_command>},
    command_row{"explain", "Explain the outcome of a request, or how a request would be routed",
                explain_command::footer, make<explain_command>},
    command_row{"experiment",
                "Simulate an installation in virtual time with the gateway's policies",
                experiment_command::footer, make<experiment_command>},
    command_row{"version", "Print the version", version_command::footer, make<version_command>},
};

} // namespace

std::span<const command_row> commandTable()
{
    return rows;
}

} // namespace comfreypass::app
