#pragma once

#include "core/time_point.h"

namespace comfreypass::transport {

/** Returns the current time of the steady clock. Thread-safe. */
core::time_point monotonicNow() noexcept;

} // namespace comfreypass::transport
