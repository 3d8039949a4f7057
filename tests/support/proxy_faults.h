#pragma once

#include "core/time_point.h"

#include <cstdint>
#include <optional>

namespace comfreypass::tests {

/** What a fault_proxy does to the bytes that pass through it. */
struct proxy_faults
{
    /** Added to each direction. */
    core::duration delay{0};
    /** Bytes in this direction wait until it is false again, as during a partition. */
    bool holdToTarget = false;
    bool holdToCaller = false;
    /** A connection is reset once it has passed this many bytes to the caller. */
    std::optional<std::uint64_t> resetAfterBytes;
    /** Every n-th byte to the caller is changed; 0 changes none. */
    std::uint32_t garbleEvery = 0;
    /** New connections are reset at once. */
    bool refuse = false;
};

} // namespace comfreypass::tests
