#include "membership/live_view.h"

#include "core/hash.h"
#include "core/invariant.h"

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

namespace comfreypass::membership {

namespace {

/** Returns the precedence of states at equal version: alive < suspect < leaving < dead. */
int statePrecedence(member_state state)
{
    switch (state) {
    case member_state::Alive:
        return 0;
    case member_state::Suspect:
        return 1;
    case member_state::Leaving:
        return 2;
    case member_state::Dead:
        return 3;
    }
    return 3;
}

auto recordOrder(const member &record)
{
    return std::tuple(record.identity.incarnation, record.stateVersion,
                      statePrecedence(record.state));
}

/** Returns false for a member known only from the instance list, which has no incarnation. */
bool isVerified(const member &record)
{
    return record.identity.incarnation != 0;
}

} // namespace

live_view::live_view(member self, membership_settings settings, core::time_point now)
    : m_self(self.identity.name), m_settings(settings)
{
    COMFREYPASS_INVARIANT(isVerified(self));
    entry &own = m_entries[m_self];
    own.record = std::move(self);
    own.epochKnownAt = now;
    updateTotals(own.record, true);
    ++m_topologyVersion;
}

live_view::merge_result live_view::merge(const member &update, core::time_point now)
{
    if (update.identity.name.empty() || !isVerified(update))
        return {};
    const auto found = m_entries.find(update.identity.name);
    if (found == m_entries.end()) {
        // An unknown dead member was removed here before; adding it again would keep it forever.
        // A record without addresses is an abbreviated one; the next view sync has the full one.
        if (update.state == member_state::Dead || update.peerAddress.empty())
            return {};
        if (m_entries.size() >= maxMembers) {
            ++m_rejected;
            return {merge_status::Full, member_state::Dead};
        }
        store(m_entries[update.identity.name], update, now);
        return {merge_status::Joined, member_state::Dead};
    }

    entry &known = found->second;
    if (found->first == m_self) {
        if (update.identity.incarnation > known.record.identity.incarnation)
            return {merge_status::Superseded, known.record.state};
        if (recordOrder(update) <= recordOrder(known.record))
            return {merge_status::Ignored, known.record.state};
        updateTotals(known.record, false);
        known.record.stateVersion = update.stateVersion + 1;
        updateTotals(known.record, true);
        return {merge_status::Refuted, update.state};
    }

    const member_state before = known.record.state;
    if (recordOrder(update) > recordOrder(known.record)) {
        const bool sameIncarnation
            = update.identity.incarnation == known.record.identity.incarnation;
        if (!sameIncarnation && update.peerAddress.empty() && update.state != member_state::Dead)
            return {merge_status::Ignored, before};
        const bool first = !isVerified(known.record);
        store(known, update, now);
        if (sameIncarnation)
            return {merge_status::Changed, before};
        return {first ? merge_status::Joined : merge_status::Restarted, before};
    }
    if (update.identity.incarnation == known.record.identity.incarnation
        && update.witnessEpoch > estimatedEpoch(known, now)) {
        known.record.witnessEpoch = update.witnessEpoch;
        known.epochKnownAt = now;
        return {merge_status::EpochChanged, before};
    }
    return {merge_status::Ignored, before};
}

void live_view::store(entry &target, const member &update, core::time_point now)
{
    const bool wasReachable
        = !target.record.identity.name.empty() && target.record.state != member_state::Dead;
    const bool isNewIncarnation = target.record.identity.incarnation != update.identity.incarnation;
    updateTotals(target.record, false);

    member next = update;
    // Abbreviated records of a known incarnation omit the addresses and the failure domain, which
    // do not change within an incarnation.
    if (update.peerAddress.empty()) {
        next.peerAddress = target.record.peerAddress;
        next.callerAddress = target.record.callerAddress;
        next.domain = target.record.domain;
    }
    const std::uint64_t estimate = isNewIncarnation ? 0 : estimatedEpoch(target, now);
    if (isNewIncarnation || update.witnessEpoch > estimate) {
        target.epochKnownAt = now;
    } else {
        next.witnessEpoch = target.record.witnessEpoch;
    }
    target.record = std::move(next);
    updateTotals(target.record, true);
    if (wasReachable != (target.record.state != member_state::Dead))
        ++m_topologyVersion;
    updateRemovable(target.record.identity.name, target, now);
}

bool live_view::declare(const core::node_name &name, member_state state, core::time_point now)
{
    const auto found = m_entries.find(name);
    if (found == m_entries.end() || name == m_self
        || statePrecedence(state) <= statePrecedence(found->second.record.state))
        return false;
    member update = found->second.record;
    update.state = state;
    store(found->second, update, now);
    return true;
}

void live_view::beginLeaving(core::time_point now)
{
    entry &own = m_entries.at(m_self);
    if (own.record.state == member_state::Leaving)
        return;
    member update = own.record;
    update.state = member_state::Leaving;
    ++update.stateVersion;
    store(own, update, now);
}

void live_view::raiseIncarnation(core::incarnation incarnation)
{
    member &own = m_entries.at(m_self).record;
    COMFREYPASS_INVARIANT(incarnation > own.identity.incarnation);
    updateTotals(own, false);
    own.identity.incarnation = incarnation;
    own.stateVersion = 0;
    updateTotals(own, true);
}

void live_view::setWitnessEpoch(std::uint64_t epoch, core::time_point now)
{
    entry &own = m_entries.at(m_self);
    own.record.witnessEpoch = epoch;
    own.epochKnownAt = now;
}

void live_view::setListed(std::span<const listed_node> nodes, core::time_point now)
{
    m_listed.clear();
    for (const listed_node &node : nodes) {
        if (node.name.empty() || m_listed.size() >= maxMembers)
            continue;
        m_listed.insert(node.name);
        if (m_entries.contains(node.name))
            continue;
        if (m_entries.size() >= maxMembers) {
            ++m_rejected;
            continue;
        }
        member unverified;
        unverified.identity.name = node.name;
        unverified.state = node.leaving ? member_state::Leaving : member_state::Alive;
        unverified.peerAddress = node.peerAddress;
        unverified.callerAddress = node.callerAddress;
        unverified.domain = node.domain;
        store(m_entries[node.name], unverified, now);
    }
    for (auto &[name, known] : m_entries)
        updateRemovable(name, known, now);
}

void live_view::updateRemovable(const core::node_name &name, entry &target,
                                core::time_point now) const
{
    // An unverified name is known from the instance list only, so it is removed when unlisted.
    const bool isRemovable
        = target.record.state == member_state::Dead || !isVerified(target.record);
    if (!isRemovable || name == m_self || m_listed.contains(name))
        target.removableSince.reset();
    else if (!target.removableSince)
        target.removableSince = now;
}

std::vector<core::node_name> live_view::removeExpired(core::time_point now)
{
    std::vector<core::node_name> removed;
    for (auto next = m_entries.begin(); next != m_entries.end();) {
        const entry &known = next->second;
        if (known.removableSince && now - *known.removableSince >= m_settings.removalDelay) {
            if (known.record.state != member_state::Dead)
                ++m_topologyVersion;
            removed.push_back(next->first);
            next = m_entries.erase(next);
        } else {
            ++next;
        }
    }
    return removed;
}

std::optional<member> live_view::find(const core::node_name &name, core::time_point now) const
{
    const auto found = m_entries.find(name);
    if (found == m_entries.end())
        return std::nullopt;
    member copy = found->second.record;
    copy.witnessEpoch = estimatedEpoch(found->second, now);
    return copy;
}

const member *live_view::record(const core::node_name &name) const
{
    const auto found = m_entries.find(name);
    return found == m_entries.end() ? nullptr : &found->second.record;
}

std::vector<member> live_view::all(core::time_point now) const
{
    std::vector<member> members;
    members.reserve(m_entries.size());
    for (const auto &[name, known] : m_entries) {
        if (!isVerified(known.record))
            continue;
        members.push_back(known.record);
        members.back().witnessEpoch = estimatedEpoch(known, now);
    }
    return members;
}

std::vector<core::node_name> live_view::reachableNames() const
{
    std::vector<core::node_name> names;
    names.reserve(m_entries.size());
    for (const auto &[name, known] : m_entries) {
        if (known.record.state != member_state::Dead)
            names.push_back(name);
    }
    return names;
}

std::vector<core::node_name> live_view::deadNames() const
{
    std::vector<core::node_name> names;
    for (const auto &[name, known] : m_entries) {
        if (known.record.state == member_state::Dead)
            names.push_back(name);
    }
    return names;
}

std::vector<const member *> live_view::live() const
{
    std::vector<const member *> members;
    members.reserve(m_liveCount);
    for (const auto &[name, known] : m_entries) {
        if (isVerified(known.record) && known.record.state != member_state::Dead)
            members.push_back(&known.record);
    }
    return members;
}

std::vector<const member *> live_view::liveOrListed() const
{
    std::vector<const member *> members;
    members.reserve(m_entries.size());
    for (const auto &[name, known] : m_entries) {
        if (known.record.state != member_state::Dead)
            members.push_back(&known.record);
    }
    return members;
}

bool live_view::majorityLive() const
{
    if (m_listed.empty())
        return 2 * m_liveCount > m_entries.size();
    std::size_t listedLive = 0;
    for (const core::node_name &name : m_listed) {
        const member *known = record(name);
        if (known != nullptr && isVerified(*known) && known->state != member_state::Dead)
            ++listedLive;
    }
    return 2 * listedLive > m_listed.size();
}

std::uint64_t live_view::estimatedEpoch(const entry &source, core::time_point now) const
{
    if (source.record.identity.name == m_self)
        return source.record.witnessEpoch;
    // The member's clock may be slower than this one, so the estimate allows for drift. Too small
    // an epoch only shortens a token's validity; too great an epoch makes the witness reject it.
    constexpr int driftBound = 1'000;
    const auto elapsed = now - source.epochKnownAt;
    const auto certain = elapsed - elapsed / driftBound;
    return source.record.witnessEpoch
           + static_cast<std::uint64_t>(
               std::max<std::int64_t>(certain / m_settings.witnessEpochLength, 0));
}

void live_view::updateTotals(const member &record, bool added) noexcept
{
    if (!isVerified(record) || record.state == member_state::Dead)
        return;
    const std::array<std::uint64_t, 3> fields = {record.identity.incarnation, record.stateVersion,
                                                 static_cast<std::uint64_t>(record.state)};
    // The record hashes are combined by XOR, so the digest does not depend on their order and a
    // change costs two hashes.
    m_digest ^= core::hash64(std::as_bytes(std::span(fields)),
                             core::hash64(record.identity.name.text()));
    if (added)
        ++m_liveCount;
    else
        --m_liveCount;
}

} // namespace comfreypass::membership
