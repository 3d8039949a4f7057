#pragma once

#include "app/command.h"

#include <memory>
#include <span>

namespace comfreypass::app {

/** Describes a subcommand. */
struct command_row
{
    const char *name;
    const char *summary;
    /** Examples and exit codes, shown below the options. */
    const char *footer;
    std::unique_ptr<command> (*make)();
};

/** Returns all subcommands in the order in which the help lists them. */
std::span<const command_row> commandTable();

} // namespace comfreypass::app
