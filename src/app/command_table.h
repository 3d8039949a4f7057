#pragma once

#include "app/command.h"

#include <memory>
#include <span>

namespace comfreypass::app {

/** A row of the table of subcommands. */
struct command_row
{
    const char *name;
    const char *summary;
    /** Examples and exit codes, shown below the options. */
    const char *footer;
    std::unique_ptr<command> (*make)();
};

/** Every subcommand, in the order of the help. A new command needs a row here and its own file. */
std::span<const command_row> commandTable();

} // namespace comfreypass::app
