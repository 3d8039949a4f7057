#pragma once

#include <chrono>
#include <cstdint>

namespace comfreypass::core {

/**
 * Clock type for time points of the local monotonic clock.
 *
 * Decision libraries never read a clock: the caller passes the current time. Time points of
 * different processes must not be compared; messages carry remaining durations instead.
 */
struct monotonic_clock
{
    using rep = std::int64_t;
    using period = std::micro;
    using duration = std::chrono::duration<rep, period>;
    using time_point = std::chrono::time_point<monotonic_clock>;
    static constexpr bool is_steady = true;
};

using time_point = monotonic_clock::time_point;
using duration = monotonic_clock::duration;

} // namespace comfreypass::core
