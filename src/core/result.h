#pragma once

#include "core/error.h"

#include <boost/outcome/result.hpp>

namespace comfreypass::core {

/**
 * A value or an error. Accessing the value of a failed result violates a precondition and
 * terminates the process.
 */
template<class T>
using result = boost::outcome_v2::result<T, error, boost::outcome_v2::policy::terminate>;

} // namespace comfreypass::core
