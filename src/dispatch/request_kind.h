#pragma once

#include <cstdint>

namespace comfreypass::dispatch {

/** Whether a request may be retried, and how its response arrives. */
enum class request_kind : std::uint8_t {
    /** May run more than once. */
    Idempotent,
    /** Runs at most once. */
    NonIdempotent,
    /** The response is an event stream; runs at most once unless the route is resumable. */
    Streaming,
};

} // namespace comfreypass::dispatch
