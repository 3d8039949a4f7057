#include "app/demo_command.h"

#include "app/exit_code.h"
#include "app/text_file.h"
#include "demo/demonstration.h"

#include <CLI/CLI.hpp>

#include <ostream>
#include <utility>

namespace comfreypass::app {

void demo_command::addOptions(CLI::App &options)
{
    options.add_option("--sheet", m_options.sheetFile, "Sheet on which the demo fleet is based")
        ->capture_default_str();
    options.add_option("--nodes", m_options.nodes, "Number of entry nodes")
        ->check(CLI::Range(2, 16))
        ->capture_default_str();
    options.add_option("--rate", m_options.requestsPerSecond, "Requests per second")
        ->check(CLI::Range(1.0, 1000.0))
        ->capture_default_str();
    options.add_option("--seconds", m_seconds, "Duration of the load in seconds")
        ->check(CLI::Range(4, 600))
        ->capture_default_str();
    options.add_flag("--cold", m_options.coldStart, "Start with all model engines cold");
    options.add_option("--seed", m_options.seed, "Random seed of the workload")
        ->capture_default_str();
}

int demo_command::run(console &terminal)
{
    m_options.load = std::chrono::seconds(m_seconds);
    const auto text = readTextFile(m_options.sheetFile, sheet::maxSheetBytes);
    if (!text) {
        terminal.err() << describe(text.error()) << '\n';
        return InvalidInput;
    }
    auto document = demo::demo_sheet::parse(text.value(), m_options.nodes);
    if (!document) {
        terminal.err() << m_options.sheetFile << ": " << describe(document.error()) << '\n';
        return InvalidInput;
    }
    demo::demonstration demonstration(m_options, std::move(document).value(), terminal.out());
    const core::result<demo::demo_report> report = demonstration.run();
    if (!report) {
        terminal.err() << describe(report.error()) << '\n';
        return Failure;
    }
    report.value().print(terminal.out());
    return report.value().allInvariantsHold() ? Success : Failure;
}

} // namespace comfreypass::app
