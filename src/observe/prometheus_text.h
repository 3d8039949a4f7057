#pragma once

#include <string>
#include <string_view>

namespace comfreypass::observe {

/** Escapes a label value for the Prometheus text form. Thread-safe. */
std::string escapeLabel(std::string_view value);

/** Shortest text that reads back as the same number. Thread-safe. */
std::string formatNumber(double value);

} // namespace comfreypass::observe
