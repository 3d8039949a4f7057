#pragma once

#include "core/incarnation.h"
#include "core/name.h"
#include "core/time_point.h"
#include "scheduling/lease_vote.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <span>
#include <utility>
#include <vector>

namespace comfreypass::scheduling {

/**
 * The scheduler side of the vote leases of one upstream: poll rounds and votes held.
 *
 * A vote is valid for one lease from the time its poll was sent, less 1% for clock drift, so that
 * it expires here before the granted lease expires at the voter. Not thread-safe.
 */
class lease_holder
{
public:
    /** Effect of a vote. */
    struct vote_change
    {
        /** The vote belongs to a recent round and comes from a live node; others are ignored. */
        bool recent = false;
        /** The vote was not held before. */
        bool gained = false;
    };

    lease_holder(core::duration lease, core::duration maxColdDispatch);

    /** Sets the live nodes and the denominator of the vote shares. */
    void setVoters(std::span<const core::node_identity> live, std::size_t total);

    /**
     * Sets the sorted names of the listed nodes. With names, all votes are held once each of them
     * has voted.
     */
    void setListed(std::vector<core::node_name> names);
    /**
     * Starts polling. Sequences continue above those of an earlier lease holder of the same
     * process, because they start at the time in milliseconds.
     */
    void start(core::time_point now);
    /** Stops polling and drops all votes. */
    void stop();
    bool active() const noexcept { return m_active; }

    /** Returns true if a third of a lease has passed since the last round. */
    bool roundDue(core::time_point now) const;
    /** Starts a poll round and returns its sequence; the caller sends it to all live nodes. */
    std::uint64_t startRound(core::time_point now);

    /** Counts a vote. Votes of unknown rounds are ignored. */
    vote_change onVote(const core::node_identity &from, const lease_vote &vote,
                       core::time_point now);
    /** Drops the vote of a node; returns true if it was held. */
    bool drop(const core::node_identity &node);
    /** Drops the votes that have expired and returns their nodes. */
    std::vector<core::node_identity> expire(core::time_point now);

    bool isLive(const core::node_identity &node) const;
    bool holds(const core::node_identity &node) const { return m_votes.contains(node); }
    /** Returns the sequence of the node's last vote. Precondition: its vote is held. */
    std::uint64_t sequenceOf(const core::node_identity &node) const;
    std::span<const core::node_identity> live() const noexcept { return m_live; }
    /** Returns true once a poll round was started. */
    bool inRound() const noexcept { return m_active && !m_rounds.empty(); }
    std::uint64_t round() const noexcept { return m_sequence; }

    std::size_t held() const noexcept { return m_votes.size(); }
    std::size_t total() const noexcept { return m_total; }
    /** Returns true if the node's last vote was a refusal in favour of another scheduler. */
    bool refuses(const core::node_identity &node) const { return m_refused.contains(node); }
    std::size_t refused() const noexcept { return m_refused.size(); }
    /**
     * Returns the number of settled votes: those under which no dispatch granted by another
     * scheduler can still run without being known to this one.
     */
    std::size_t settled(core::time_point now) const;

    /** Returns the sorted names of the nodes whose votes are settled. */
    std::vector<core::node_name> settledNames(core::time_point now) const;

    /** Returns floor(limit x votes / total). Thread-safe. */
    static std::uint32_t share(std::uint32_t limit, std::size_t votes, std::size_t total);

private:
    struct held_vote
    {
        core::time_point expires{};
        /** Since when the vote has been held without interruption. */
        core::time_point since{};
        std::uint64_t sequence = 0;
        bool settled = false;
    };

    void settleIfComplete();
    bool complete() const;

    core::duration m_lease;
    core::duration m_pollInterval;
    core::duration m_settleTime;
    bool m_active = false;
    std::uint64_t m_sequence = 0;
    /** Send times of the recent rounds. */
    std::deque<std::pair<std::uint64_t, core::time_point>> m_rounds;
    std::vector<core::node_identity> m_live;
    std::size_t m_total = 1;
    std::vector<core::node_name> m_listed;
    std::map<core::node_identity, held_vote> m_votes;
    std::set<core::node_identity> m_refused;
    /** Lower bound of the expiry times of all votes. */
    core::time_point m_earliestExpiry = core::time_point::max();
};

} // namespace comfreypass::scheduling
