#pragma once

#include "core/error.h"

#include <boost/outcome/result.hpp>

namespace comfreypass::core {

/**
 * Value or error. Reading the value of a failed result is a broken precondition and stops the
 * process.
 */
template<class T>
using result = boost::outcome_v2::result<T, error, boost::outcome_v2::policy::terminate>;

} // namespace comfreypass::core
