#pragma once

#include "observe/burn_report.h"

#include <iosfwd>

namespace comfreypass::observe {

/** Writes the report as a self-contained HTML page: a table and an SVG chart of the burn rate over
 * time for each dimension. Thread-safe. */
void writeBurnHtml(const burn_report &report, std::ostream &out);

} // namespace comfreypass::observe
