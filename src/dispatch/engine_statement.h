#pragma once

#include "core/time_point.h"

#include <cstdint>

namespace comfreypass::dispatch {

/** What a process of an engine has stated about itself in its responses to this node. */
struct engine_statement
{
    /** Start time of the process, as in its entry; 0 if unknown. */
    std::uint64_t startedAt = 0;
    /** Time of the latest statement. */
    core::time_point statedAt{};
    /** The process accepts no new requests until it ends. */
    bool isLeaving = false;
    /** The process wants no new requests of this node until then. */
    core::time_point pausedUntil{};
    /** The process asked for a pause of an invalid length, which has been reported. */
    bool hasInvalidPause = false;
};

} // namespace comfreypass::dispatch
