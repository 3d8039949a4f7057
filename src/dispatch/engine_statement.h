#pragma once

#include "core/time_point.h"

#include <cstdint>

namespace comfreypass::dispatch {

/** What a process of an engine has stated about itself in its responses to this node. */
struct engine_statement
{
    /** Start time of the process, as in its entry; 0 if unknown. */
    std::uint64_t startedAt = 0;
    /** The process accepts no new requests until it ends. */
    bool isLeaving = false;
    core::time_point leavingSince{};
};

} // namespace comfreypass::dispatch
