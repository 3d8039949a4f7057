#pragma once

#include <cstdint>

namespace comfreypass::idempotency {

/** What a node knows of a request key. */
enum class key_state : std::uint8_t {
    /** Nothing, or a claim that failed or was given up before dispatch: it may be claimed. */
    Free,
    Claiming,
    /** Won and not yet dispatched. */
    Owned,
    Dispatched,
    /** The dispatch has ended; response_store may have the response. */
    Finished,
};

} // namespace comfreypass::idempotency
