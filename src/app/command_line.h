#pragma once

#include "app/console.h"

#include <string>
#include <vector>

namespace comfreypass::app {

/**
 * Parses the arguments (without the program name), runs the subcommand that they name and returns
 * its exit code. Returns `Usage` for invalid arguments.
 */
int runCommandLine(std::vector<std::string> arguments, console &terminal);

} // namespace comfreypass::app
