#pragma once

#include "observe/burn_report.h"

#include <boost/json/value.hpp>

namespace comfreypass::observe {

/** The report as a JSON document; times are in seconds, rates are multiples of the budget.
 * Thread-safe. */
boost::json::value writeBurnJson(const burn_report &report);

} // namespace comfreypass::observe
