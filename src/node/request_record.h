#pragma once

#include "core/name.h"
#include "core/tier.h"
#include "core/time_point.h"

#include <cstdint>
#include <string>

namespace comfreypass::node {

/** Outcome and timing of one request, for metrics and for `explain`. */
struct request_record
{
    enum class outcome : std::uint8_t {
        Answered,
        /** Refused; no byte reached an upstream. */
        NotRun,
        Unknown,
        /** The caller disconnected before the response was complete. */
        CallerDisconnected,
    };

    core::team_name team;
    core::half_name half;
    core::upstream_name upstream;
    core::engine_name engine;
    core::tier tier = core::lowestTier;
    outcome result = outcome::NotRun;
    /** Reason of a refusal or failure; empty after a complete response. */
    std::string reason;
    /** The complete response arrived before the deadline. */
    bool inTime = false;
    bool dispatched = false;
    std::uint32_t prefillTokens = 0;
    /** Prompt tokens processed for a request without a complete response before the deadline. */
    std::uint32_t wastedPrefillTokens = 0;
    std::uint32_t decodeTokens = 0;
    core::duration queued{};
    /** Time from arrival at this node to the first byte of the response; zero without one. */
    core::duration firstToken{};
    core::duration total{};
    /** Empty for a request without a key. */
    std::string key;
};

} // namespace comfreypass::node
