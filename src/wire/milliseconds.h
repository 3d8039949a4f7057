#pragma once

#include "core/time_point.h"

#include <cstdint>

namespace comfreypass::wire {

/** Whole milliseconds of a duration, rounded down; within 0 and 2^32-1. Thread-safe. */
std::uint32_t floorMs(core::duration value) noexcept;

/** Whole milliseconds of a duration, rounded up; within 0 and 2^32-1. Thread-safe. */
std::uint32_t ceilMs(core::duration value) noexcept;

/** The duration of a number of milliseconds. Thread-safe. */
core::duration fromMs(std::uint32_t value) noexcept;

} // namespace comfreypass::wire
