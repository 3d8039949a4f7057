#pragma once

#include "app/console.h"

#include <string>
#include <vector>

namespace comfreypass::app {

/**
 * Reads the arguments (without the program's name), runs the subcommand that they name and returns
 * its exit code. Wrong arguments give `Usage`.
 */
int runCommandLine(std::vector<std::string> arguments, console &terminal);

} // namespace comfreypass::app
