#pragma once

#include "core/name.h"
#include "core/tier.h"
#include "scheduling/refusal_reason.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace comfreypass::scheduling {

/** State of a pool at one moment, for state pages and metrics. */
struct pool_snapshot
{
    struct engine
    {
        core::engine_name name;
        core::domain_name domain;
        /** Requests that the whole fleet may run on the engine. */
        std::uint32_t limit = 0;
        std::uint32_t slots = 0;
        /** Requests that this scheduler may have on the engine with the votes it holds. */
        std::uint32_t share = 0;
        std::uint32_t running = 0;
        double latencyFactor = 1;
        bool usable = false;
    };

    std::array<std::size_t, core::tierCount> queued{};
    std::array<std::size_t, core::tierCount> running{};
    std::vector<engine> engines;
    std::size_t votesHeld = 0;
    /** Votes of them that count for cold engines. */
    std::size_t votesSettled = 0;
    /** Denominator of the vote shares. */
    std::size_t votesTotal = 0;
    /** Nodes that refused the last poll because they hold or want another scheduler. */
    std::size_t votesRefused = 0;
    bool active = false;

    std::uint64_t granted = 0;
    /** Refusals by `refusal_reason`. */
    std::array<std::uint64_t, refusalReasonCount> refused{};
    std::uint64_t preempted = 0;
};

} // namespace comfreypass::scheduling
