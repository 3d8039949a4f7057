#include "app/serve_command.h"

#include "app/exit_code.h"
#include "app/text_file.h"
#include "node/node_process.h"
#include "sheet/parse_settings.h"

#include <CLI/CLI.hpp>

#include <ostream>
#include <utility>

namespace comfreypass::app {

void serve_command::addOptions(CLI::App &options)
{
    options.add_option("--settings", m_settingsPath, "Settings file of the node")->required();
}

int serve_command::run(console &terminal)
{
    const auto text = readTextFile(m_settingsPath, sheet::maxSettingsBytes);
    if (!text) {
        terminal.err() << describe(text.error()) << '\n';
        return InvalidInput;
    }
    auto parsed = sheet::parseSettings(text.value());
    if (!parsed) {
        for (const core::error &each : parsed.error())
            terminal.err() << m_settingsPath << ": " << describe(each) << '\n';
        return InvalidInput;
    }
    for (const core::error &each : parsed.value().warnings)
        terminal.err() << m_settingsPath << ": warning: " << describe(each) << '\n';

    node::node_process process(std::move(parsed).value().value);
    const core::result<void> ended = process.run();
    if (ended)
        return Success;
    terminal.err() << describe(ended.error()) << '\n';
    return Failure;
}

} // namespace comfreypass::app
