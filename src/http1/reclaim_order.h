#pragma once

#include <cstdint>

namespace comfreypass::http1 {

/** What a holder of memory loses when it is reclaimed; in the order in which this is done. */
enum class reclaim_order : std::uint8_t {
    /** A request that has not run. */
    IncompleteRequest,
    /** The response to a complete request. */
    UnreadResponse,
};

} // namespace comfreypass::http1
