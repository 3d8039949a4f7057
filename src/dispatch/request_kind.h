#pragma once

#include <cstdint>

namespace comfreypass::dispatch {

/** What may be repeated, and how the answer arrives. */
enum class request_kind : std::uint8_t {
    /** May run more than once. */
    Idempotent,
    /** Runs at most once. */
    NonIdempotent,
    /** Answered with a series of events; runs at most once unless the route is resumable. */
    Streaming,
};

} // namespace comfreypass::dispatch
