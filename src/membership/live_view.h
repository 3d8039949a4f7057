#pragma once

#include "core/time_point.h"
#include "membership/listed_node.h"
#include "membership/member.h"
#include "membership/membership_settings.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace comfreypass::membership {

/**
 * This node's view of all members, itself included. Not thread-safe.
 *
 * Records are ordered by incarnation, then state version, then state (alive < suspect < leaving <
 * dead). A greater record replaces a smaller one, so all views converge regardless of the order of
 * arrival. Only the member itself raises its state version.
 */
class live_view
{
public:
    static constexpr std::size_t maxMembers = 1'024;

    enum class merge_status : std::uint8_t {
        /** The record is already known, is older, or is a dead record of an unknown member. */
        Ignored,
        Joined,
        /** A new incarnation replaced an old one. */
        Restarted,
        /** The state or state version changed. */
        Changed,
        /** Only the witness epoch increased. */
        EpochChanged,
        /** The record declared this node suspect or dead; its state version was raised. */
        Refuted,
        /** The record has a greater incarnation of this node's name. */
        Superseded,
        /** The view is full. */
        Full,
    };

    struct merge_result
    {
        merge_status status = merge_status::Ignored;
        /** State before the merge; Dead for an unknown member. */
        member_state before = member_state::Dead;
    };

    live_view(member self, membership_settings settings, core::time_point now);

    const member &self() const noexcept { return m_entries.at(m_self).record; }
    /** Merges a record from another node. */
    merge_result merge(const member &update, core::time_point now);
    /** Declares a member suspect or dead at its current version; returns false without a change. */
    bool declare(const core::node_name &name, member_state state, core::time_point now);
    /** Sets this node's state to leaving and raises its version. */
    void beginLeaving(core::time_point now);
    /** Replaces this node's incarnation. Precondition: it is greater than the current one. */
    void raiseIncarnation(core::incarnation incarnation);
    void setWitnessEpoch(std::uint64_t epoch, core::time_point now);

    /** Replaces the instance list. Unknown names are added as unverified, with incarnation 0. */
    void setListed(std::span<const listed_node> nodes, core::time_point now);
    /** Removes dead or unverified members that have been unlisted for the removal delay; returns
     * their names. */
    std::vector<core::node_name> removeExpired(core::time_point now);

    /** Returns the record of a member with its estimated witness epoch at `now`. */
    std::optional<member> find(const core::node_name &name, core::time_point now) const;
    /** Returns the stored record, with the witness epoch of its last update; null if unknown. */
    const member *record(const core::node_name &name) const;
    /** Returns all verified records, dead ones included, with estimated witness epochs. */
    std::vector<member> all(core::time_point now) const;
    /** Returns the names in the overlay: all that are not dead, verified or not, and this node. */
    std::vector<core::node_name> reachableNames() const;
    /** Returns the names of dead members. */
    std::vector<core::node_name> deadNames() const;
    /** Returns the verified members that are alive, suspect or leaving, ordered by name. */
    std::vector<const member *> live() const;
    /** As live(), but includes unverified names from the instance list. */
    std::vector<const member *> liveOrListed() const;

    /** Returns the number of verified members that are not dead, this node included. */
    std::size_t liveCount() const noexcept { return m_liveCount; }
    /** Returns true if more than half of the listed nodes are live. Without an instance list, all
     * known nodes count instead. */
    bool majorityLive() const;
    bool isListed(const core::node_name &name) const { return m_listed.contains(name); }
    std::size_t listedCount() const noexcept { return m_listed.size(); }

    /** Returns a digest of all verified members that are not dead; equal for equal views. */
    std::uint64_t digest() const noexcept { return m_digest; }
    /** Returns a counter that increases when the set of reachable names changes. */
    std::uint64_t topologyVersion() const noexcept { return m_topologyVersion; }
    /** Returns the number of records that were rejected because the view was full. */
    std::uint64_t rejectedCount() const noexcept { return m_rejected; }

private:
    struct entry
    {
        member record;
        /** Time at which the record's witness epoch was received. */
        core::time_point epochKnownAt;
        /** Time since which the member has been dead or unverified, and unlisted. */
        std::optional<core::time_point> removableSince;
    };

    void store(entry &target, const member &update, core::time_point now);
    void updateTotals(const member &record, bool added) noexcept;
    void updateRemovable(const core::node_name &name, entry &target, core::time_point now) const;
    std::uint64_t estimatedEpoch(const entry &source, core::time_point now) const;

    core::node_name m_self;
    membership_settings m_settings;
    std::map<core::node_name, entry> m_entries;
    std::set<core::node_name> m_listed;
    std::uint64_t m_digest = 0;
    std::uint64_t m_topologyVersion = 0;
    std::uint64_t m_rejected = 0;
    std::size_t m_liveCount = 0;
};

} // namespace comfreypass::membership
