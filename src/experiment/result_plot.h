#pragma once

#include "experiment/run_result.h"

#include <iosfwd>
#include <span>

namespace comfreypass::experiment {

/** Writes an SVG plot of goodput versus load, with one line per policy. Thread-safe. */
void writePlot(std::ostream &out, std::span<const run_result> results);

} // namespace comfreypass::experiment
