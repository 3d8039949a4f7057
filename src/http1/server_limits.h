#pragma once

#include "core/time_point.h"

#include <chrono>
#include <cstddef>

namespace comfreypass::http1 {

/** Size limits and timeouts for callers; the configuration overrides the defaults. */
struct server_limits
{
    std::size_t headerBytes = 16'384;
    std::size_t bodyBytes = 4'194'304;
    /** Maximum pause between two reads of an incomplete request. */
    core::duration readTimeout = std::chrono::seconds(3);
    /** Maximum time without a request. */
    core::duration idleTimeout = std::chrono::seconds(15);
};

} // namespace comfreypass::http1
