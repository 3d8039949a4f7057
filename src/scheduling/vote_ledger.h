#pragma once

#include "core/incarnation.h"
#include "core/name.h"
#include "core/time_point.h"
#include "scheduling/lease_poll.h"
#include "scheduling/lease_vote.h"
#include "scheduling/permit_grant.h"
#include "scheduling/scheduler_options.h"
#include "scheduling/step_down.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace comfreypass::scheduling {

/**
 * The voter side of all upstreams of one node: to whom its share of each upstream is promised.
 *
 * A process that was paused finds its promises expired, because each call compares them with the
 * present time. Not thread-safe.
 */
class vote_ledger
{
public:
    /** `start` is when the process started: promises of an earlier life may last one lease more. */
    explicit vote_ledger(core::time_point start, core::duration longestLease = defaultLease);

    /**
     * Answers a poll. `running` lists what the node runs or may still dispatch on the upstream.
     * Refuses while another node holds the promise, after a poll of a better-ranked node, within
     * one lease after the start, and for a lease longer than the longest one.
     */
    lease_vote onPoll(const core::node_identity &from, const lease_poll &poll,
                      std::vector<running_dispatch> running, core::time_point now);

    /** Frees the promise if the sender holds it. */
    void onStepDown(const core::node_identity &from, const step_down &message);

    /**
     * True if a permit of this scheduler may be used now: the promise it was granted under is
     * unexpired and the permit is at most `permitRounds` rounds old. Call it again immediately
     * before the request is written.
     */
    bool mayUse(const core::node_identity &grantor, const permit_grant &permit,
                core::time_point now) const;

    /** The node that holds an unexpired promise for the upstream. */
    std::optional<core::node_identity> holder(const core::upstream_name &upstream,
                                              core::time_point now) const;

private:
    struct granted_lease
    {
        core::node_identity holder;
        core::time_point expires{};
        std::uint64_t firstSequence = 0;
        std::uint64_t lastSequence = 0;
    };

    struct upstream_entry
    {
        std::optional<granted_lease> given;
        /** A better-ranked node that asked while another node held the promise. */
        std::optional<core::node_name> challenger;
        core::time_point challengerExpires{};
        /** Highest sequence answered for each recent holder; an older poll is a late copy. */
        std::vector<std::pair<core::node_identity, std::uint64_t>> answered;
        std::map<core::engine_name, ramp_state> ramps;
    };

    std::optional<core::node_name> refusalFor(upstream_entry &entry,
                                              const core::node_identity &from,
                                              const lease_poll &poll, core::time_point now) const;
    static std::uint64_t answeredSequence(const upstream_entry &entry,
                                          const core::node_identity &from);
    static void promiseTo(upstream_entry &entry, const core::node_identity &from,
                          const lease_poll &poll, core::time_point now);
    static void keepRamps(upstream_entry &entry, std::span<const ramp_state> ramps);

    core::time_point m_firstVote;
    core::duration m_longestLease;
    std::unordered_map<core::upstream_name, upstream_entry> m_upstreams;
};

} // namespace comfreypass::scheduling
