#pragma once

#include <cstdint>

namespace comfreypass::idempotency {

/** State of a request key at one node. */
enum class key_state : std::uint8_t {
    /** May be claimed: the key is new, or its claim failed or was abandoned before dispatch. */
    Free,
    Claiming,
    /** Won and not yet dispatched. */
    Owned,
    Dispatched,
    /** The dispatch has ended; the response_store may contain the response. */
    Finished,
};

} // namespace comfreypass::idempotency
