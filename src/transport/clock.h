#pragma once

#include "core/time_point.h"

namespace comfreypass::transport {

/** Present time of the process's steady clock. Thread-safe. */
core::time_point monotonicNow() noexcept;

} // namespace comfreypass::transport
