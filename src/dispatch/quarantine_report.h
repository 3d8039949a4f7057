#pragma once

#include "core/time_point.h"
#include "dispatch/crash_signature.h"
#include "dispatch/engine_registry.h"
#include "dispatch/request_feature.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace comfreypass::dispatch {

/** An engine that ended while it ran a request without an answer. */
struct crash_report
{
    engine_key engine = 0;
    /** Segments of the request from the start of its prompt, then the request itself. */
    std::vector<request_feature> features;
    /** Time since the engine ended. */
    core::duration age{};
    /** The upstream has no other engine. */
    bool isOnlyEngine = false;
    /** Time from the start of the attempt to the end of the engine. */
    core::duration ranFor{};
    /** Identifies the report on all nodes, however late it arrives; 0 if it has no id. */
    std::uint64_t id = 0;
};

/** A signature whose requests are refused. */
struct quarantined_signature
{
    crash_signature signature;
    core::duration remaining{};
    /** Crashes that it explains. */
    std::size_t crashes = 0;
    /** Attempts after earlier quarantines that crashed an engine again. */
    std::size_t failedTrials = 0;
};

/** What a node knows about requests that may crash engines, as sent to its peers. */
struct quarantine_report
{
    std::vector<crash_report> crashes;
    std::vector<quarantined_signature> quarantined;
    /** Suspected features that an engine has answered. */
    std::vector<request_feature> answered;
    /** Signatures of which a request has just been sent to an engine, to try them again. */
    std::vector<crash_signature> trials = {};

    bool empty() const noexcept
    {
        return crashes.empty() && quarantined.empty() && answered.empty() && trials.empty();
    }
};

} // namespace comfreypass::dispatch
