#include "app/command_line.h"

#include "app/command_table.h"
#include "app/exit_code.h"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <memory>

namespace comfreypass::app {

namespace {

bool isCommand(const std::string &name)
{
    const auto rows = commandTable();
    return std::any_of(rows.begin(), rows.end(),
                       [&](const command_row &row) { return row.name == name; });
}

} // namespace

int runCommandLine(std::vector<std::string> arguments, console &terminal)
{
    // CLI11 would only report that a subcommand is required.
    if (!arguments.empty() && !arguments.front().starts_with('-')
        && !isCommand(arguments.front())) {
        terminal.err() << "unknown command \"" << arguments.front()
                       << "\"; see `comfreypass --help`\n";
        return Usage;
    }

    CLI::App program("Request scheduler for model engines and plain services of an organisation "
                     "that is being divided into two halves.",
                     "comfreypass");
    program.require_subcommand(1);
    program.footer("`comfreypass COMMAND --help` shows examples and exit codes.");

    std::vector<std::unique_ptr<command>> commands;
    for (const command_row &row : commandTable()) {
        commands.push_back(row.make());
        CLI::App *options = program.add_subcommand(row.name, row.summary);
        options->footer(row.footer);
        commands.back()->addOptions(*options);
    }

    try {
        // CLI11 expects the arguments in reverse order.
        std::reverse(arguments.begin(), arguments.end());
        program.parse(std::move(arguments));
    } catch (const CLI::ParseError &error) {
        const bool isHelp = program.exit(error, terminal.out(), terminal.err()) == 0;
        return isHelp ? Success : Usage;
    }

    const auto rows = commandTable();
    for (std::size_t i = 0; i < rows.size(); ++i) {
        if (program.got_subcommand(rows[i].name))
            return commands[i]->run(terminal);
    }
    return Usage;
}

} // namespace comfreypass::app
