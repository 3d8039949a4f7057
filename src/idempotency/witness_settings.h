#pragma once

#include "core/time_point.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace comfreypass::idempotency {

/** Limits of a witness; must be equal on all nodes of a fleet. */
struct witness_settings
{
    core::duration epochLength = std::chrono::seconds{60};
    /** Number of epochs before the current one whose claims are still accepted. */
    std::uint64_t earlierEpochs = 9;
    std::size_t maxRecords = 65'536;
};

} // namespace comfreypass::idempotency
