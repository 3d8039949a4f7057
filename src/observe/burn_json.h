#pragma once

#include "observe/burn_report.h"

#include <boost/json/value.hpp>

namespace comfreypass::observe {

/** Returns the report as a JSON document. Times are in seconds; a burn rate of 1 spends the error
 * budget exactly over its period. Thread-safe. */
boost::json::value writeBurnJson(const burn_report &report);

} // namespace comfreypass::observe
