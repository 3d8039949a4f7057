#pragma once

#include "core/time_point.h"
#include "dispatch/engine_registry.h"

#include <cstdint>
#include <vector>

namespace comfreypass::dispatch {

/** Identifies a segment of a prompt that several requests share. */
using segment_key = std::uint64_t;

/** An engine that ended while it ran a request without an answer. */
struct crash_report
{
    engine_key engine = 0;
    /** Segments of the request, from the start of its prompt. */
    std::vector<segment_key> segments;
    /** Time since the engine ended. */
    core::duration age{};
};

/** A segment whose requests are refused. */
struct quarantined_segment
{
    segment_key segment = 0;
    core::duration remaining{};
};

/** What a node knows about segments that may crash engines, as sent to its peers. */
struct segment_report
{
    std::vector<crash_report> crashes;
    std::vector<quarantined_segment> quarantined;
    /** Suspected segments that an engine has answered. */
    std::vector<segment_key> answered;

    bool empty() const noexcept
    {
        return crashes.empty() && quarantined.empty() && answered.empty();
    }
};

} // namespace comfreypass::dispatch
