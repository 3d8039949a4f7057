#pragma once

#include <CLI/App.hpp>

#include <cstdint>

namespace comfreypass::app {

enum class output_format : std::uint8_t { Table, Json };

/** Adds the option --output, which stores its value in `target`. */
void addOutputOption(CLI::App &options, output_format &target);

} // namespace comfreypass::app
