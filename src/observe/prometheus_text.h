#pragma once

#include <string>
#include <string_view>

namespace comfreypass::observe {

/** Escapes a label value for the Prometheus text format. Thread-safe. */
std::string escapeLabel(std::string_view value);

/** Formats a number as the shortest text that parses to the same value. Thread-safe. */
std::string formatNumber(double value);

} // namespace comfreypass::observe
