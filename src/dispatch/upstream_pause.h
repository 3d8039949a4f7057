#pragma once

#include "core/time_point.h"

#include <cstdint>

namespace comfreypass::dispatch {

/** State of an upstream whose usable engines have all asked for a pause. */
struct upstream_pause
{
    /** Time at which the first engine accepts requests again. */
    core::time_point endsAt{};
    /** Slots of the engines that return. */
    std::uint32_t slots = 0;
};

} // namespace comfreypass::dispatch
