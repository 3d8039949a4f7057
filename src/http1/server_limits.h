#pragma once

#include "core/time_point.h"

#include <chrono>
#include <cstddef>

namespace comfreypass::http1 {

/** What a caller may send, and how long it may take; the configuration replaces the defaults. */
struct server_limits
{
    std::size_t headerBytes = 16'384;
    std::size_t bodyBytes = 4'194'304;
    /** From the first byte of a request to the end of its header, and between parts of its body. */
    core::duration readTimeout = std::chrono::seconds(3);
    /** Time that a connection may stay without a request. */
    core::duration idleTimeout = std::chrono::seconds(15);
};

} // namespace comfreypass::http1
