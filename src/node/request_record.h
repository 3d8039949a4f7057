#pragma once

#include "core/name.h"
#include "core/tier.h"
#include "core/time_point.h"

#include <cstdint>
#include <string>

namespace comfreypass::node {

/** How one request ended, for metrics and for `explain`. */
struct request_record
{
    enum class outcome : std::uint8_t {
        Answered,
        /** Refused, and no byte reached an upstream. */
        NotRun,
        Unknown,
        /** The caller went away first. */
        CallerDisconnected,
    };

    core::team_name team;
    core::half_name half;
    core::upstream_name upstream;
    core::engine_name engine;
    core::tier tier = core::lowestTier;
    outcome result = outcome::NotRun;
    /** Reason of a refusal or failure; empty for an answer. */
    std::string reason;
    /** The whole answer came before the deadline. */
    bool inTime = false;
    bool dispatched = false;
    std::uint32_t prefillTokens = 0;
    /** Prompt tokens processed for a request that was not answered in time. */
    std::uint32_t wastedPrefillTokens = 0;
    std::uint32_t decodeTokens = 0;
    core::duration queued{};
    /** From the arrival at this node to the first byte of the answer; zero if there was none. */
    core::duration firstToken{};
    core::duration total{};
    /** Empty for a request without a key. */
    std::string key;
};

} // namespace comfreypass::node
