#pragma once

#include "app/console.h"

#include <CLI/App.hpp>

namespace comfreypass::app {

/** One subcommand of the binary. */
class command
{
public:
    command() = default;
    virtual ~command() = default;
    command(const command &) = delete;
    command &operator=(const command &) = delete;

    /** Adds the options and arguments; CLI11 writes their values into members of this object. */
    virtual void addOptions(CLI::App &options) = 0;

    /** Runs the command after the arguments have been parsed and returns the exit code. */
    virtual int run(console &terminal) = 0;
};

} // namespace comfreypass::app
