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
 * The voter side of the vote leases of one node: which scheduler holds its vote for each upstream.
 *
 * Each call compares the leases with the given time, so that a process that was paused finds its
 * leases expired. Not thread-safe.
 */
class vote_ledger
{
public:
    /**
     * `start` is the start time of the process. Leases granted by its previous incarnation may
     * last for up to one lease after it.
     */
    explicit vote_ledger(core::time_point start, core::duration maxLease = defaultLease);

    /**
     * Returns the vote for a poll. `running` lists what the node runs or may still dispatch on the
     * upstream. Refuses while another node holds the lease, after a poll of a better-ranked node,
     * within one lease after the start, and for a lease longer than the maximum.
     */
    lease_vote onPoll(const core::node_identity &from, const lease_poll &poll,
                      std::vector<running_dispatch> running, core::time_point now);

    /** Ends the lease if the sender holds it. */
    void onStepDown(const core::node_identity &from, const step_down &message);

    /**
     * Returns true if a permit of the scheduler `grantor` may be used now: the lease it was granted
     * under has not expired and the permit is at most `permitRounds` rounds old. Call it again
     * immediately before the request is written.
     */
    bool mayUse(const core::node_identity &grantor, const permit_grant &permit,
                core::time_point now) const;

    /** Returns the node that holds an unexpired lease for the upstream. */
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
        std::optional<granted_lease> granted;
        /** A better-ranked node that polled while another node held the lease. */
        std::optional<core::node_name> challenger;
        core::time_point challengerExpires{};
        /** Highest sequence granted to each recent holder; an older poll is a late copy. */
        std::vector<std::pair<core::node_identity, std::uint64_t>> lastSequences;
        std::map<core::engine_name, ramp_state> ramps;
    };

    std::optional<core::node_name> refusalFor(upstream_entry &entry,
                                              const core::node_identity &from,
                                              const lease_poll &poll, core::time_point now) const;
    static std::uint64_t lastSequenceFrom(const upstream_entry &entry,
                                          const core::node_identity &from);
    static void grantLease(upstream_entry &entry, const core::node_identity &from,
                           const lease_poll &poll, core::time_point now);
    static void storeRamps(upstream_entry &entry, std::span<const ramp_state> ramps);

    core::time_point m_earliestVote;
    core::duration m_maxLease;
    std::unordered_map<core::upstream_name, upstream_entry> m_upstreams;
};

} // namespace comfreypass::scheduling
