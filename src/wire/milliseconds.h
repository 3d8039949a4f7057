#pragma once

#include "core/time_point.h"

#include <cstdint>

namespace comfreypass::wire {

/** Converts a duration to milliseconds, rounded down and clamped to 0 to 2^32-1. Thread-safe. */
std::uint32_t floorMs(core::duration value) noexcept;

/** Converts a duration to milliseconds, rounded up and clamped to 0 to 2^32-1. Thread-safe. */
std::uint32_t ceilMs(core::duration value) noexcept;

/** Converts milliseconds to a duration. Thread-safe. */
core::duration fromMs(std::uint32_t value) noexcept;

} // namespace comfreypass::wire
