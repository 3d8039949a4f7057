#pragma once

#include "core/time_point.h"

#include <cstdint>
#include <optional>

namespace comfreypass::tests {

/** Faults that a fault_proxy injects into its connections. */
struct proxy_faults
{
    /** Delay added in each direction. */
    core::duration delay{0};
    /** Holds back the bytes of one direction until set to false, as in a network partition. */
    bool holdToTarget = false;
    bool holdToCaller = false;
    /** Resets a connection once it has forwarded this many bytes to the caller. */
    std::optional<std::uint64_t> resetAfterBytes;
    /** Corrupts every n-th byte to the caller; 0 corrupts none. */
    std::uint32_t garbleEvery = 0;
    /** Resets new connections immediately. */
    bool refuse = false;
};

} // namespace comfreypass::tests
