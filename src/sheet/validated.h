#pragma once

#include "core/error.h"

#include <boost/outcome/result.hpp>

#include <vector>

namespace comfreypass::sheet {

/** A validated value, or all errors of its document. */
template<class T>
using validated
    = boost::outcome_v2::result<T, std::vector<core::error>, boost::outcome_v2::policy::terminate>;

} // namespace comfreypass::sheet
