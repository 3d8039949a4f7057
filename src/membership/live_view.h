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
 * What this node knows of all members, itself included. Not thread-safe.
 *
 * Records are ordered by incarnation, then state version, then state (alive < suspect < leaving <
 * dead); a greater record replaces a smaller one, so all views converge whatever the order of
 * arrival. Only the member itself raises its state version.
 */
class live_view
{
public:
    static constexpr std::size_t maxMembers = 1'024;

    enum class merge_verdict : std::uint8_t {
        /** Known already, older, or dead and unknown. */
        Ignored,
        Joined,
        /** A new incarnation replaced an old one. */
        Restarted,
        /** State or state version changed. */
        Changed,
        /** Only the witness epoch grew. */
        EpochChanged,
        /** The record said that this node is suspect or dead; its state version was raised. */
        Refuted,
        /** The record names a greater incarnation of this node. */
        Superseded,
        /** The view is full. */
        Full,
    };

    struct merge_result
    {
        merge_verdict verdict = merge_verdict::Ignored;
        /** State before the merge; Dead for an unknown member. */
        member_state before = member_state::Dead;
    };

    live_view(member self, membership_settings settings, core::time_point now);

    const member &self() const noexcept { return m_entries.at(m_self).record; }
    /** Merges a record from another node. */
    merge_result merge(const member &update, core::time_point now);
    /** Declares a member suspect or dead at its present version; false if that changes nothing. */
    bool declare(const core::node_name &name, member_state state, core::time_point now);
    /** Sets this node's state to leaving and raises its version. */
    void beginLeaving(core::time_point now);
    /** Replaces this node's incarnation. Precondition: it is greater than the present one. */
    void raiseIncarnation(core::incarnation incarnation);
    void setWitnessEpoch(std::uint64_t epoch, core::time_point now);

    /** Takes the instance list. A name that is not known is added as unverified (incarnation 0). */
    void setListed(std::span<const listed_node> nodes, core::time_point now);
    /** Removes dead members that have not been listed for the removal time; returns their names. */
    std::vector<core::node_name> removeExpired(core::time_point now);

    /** The record of a member with its estimated witness epoch at `now`. */
    std::optional<member> find(const core::node_name &name, core::time_point now) const;
    /** The stored record; null if unknown. Its witness epoch is that of the last update. */
    const member *record(const core::node_name &name) const;
    /** All verified records, dead ones included, with estimated witness epochs. */
    std::vector<member> all(core::time_point now) const;
    /** Names that belong in the overlay: not dead, verified or not; this node included. */
    std::vector<core::node_name> reachableNames() const;
    /** Names of dead members that are worth a probe. */
    std::vector<core::node_name> deadNames() const;
    /** Verified members that are alive, suspect or leaving, in order of their names. */
    std::vector<const member *> live() const;
    /** As live(), with the names that only the instance list has given so far. */
    std::vector<const member *> liveOrListed() const;

    /** Verified members that are not dead, this node included. */
    std::size_t liveCount() const noexcept { return m_liveCount; }
    /** True if more than half of the listed nodes (of all known ones without a list) are live. */
    bool majorityLive() const;
    bool isListed(const core::node_name &name) const { return m_listed.contains(name); }
    std::size_t listedCount() const noexcept { return m_listed.size(); }

    /** Digest of all verified members that are not dead; equal for equal views. */
    std::uint64_t digest() const noexcept { return m_digest; }
    /** Grows when the set of reachable names changes. */
    std::uint64_t topologyVersion() const noexcept { return m_topologyVersion; }
    /** Names that were not added because the view is full. */
    std::uint64_t rejectedCount() const noexcept { return m_rejected; }

private:
    struct entry
    {
        member record;
        /** When the record's witness epoch was learnt. */
        core::time_point epochKnownAt;
        /** Since when the member is dead and unlisted. */
        std::optional<core::time_point> removableSince;
    };

    void store(entry &target, const member &update, core::time_point now);
    void account(const member &record, bool added) noexcept;
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
