#pragma once

#include "core/name.h"

#include <cstdint>

namespace comfreypass::scheduling {

/** Ramp of one engine, as schedulers pass it to their successors through the voters. */
struct ramp_state
{
    core::engine_name engine;
    /** Requests that the whole fleet may run on the engine at once. */
    std::uint32_t limit = 1;
    /** Responses completed in time since the limit last changed. */
    std::uint32_t evidence = 0;
    /** Process incarnation of the engine that the state applies to. */
    std::uint64_t engineEpoch = 0;
    /** Increases with each change; of two states the one with the greater version is newer. */
    std::uint64_t version = 0;

    bool operator==(const ramp_state &) const = default;
};

} // namespace comfreypass::scheduling
