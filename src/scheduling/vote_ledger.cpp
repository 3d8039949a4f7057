#include "scheduling/vote_ledger.h"

#include "core/rendezvous.h"

#include <algorithm>
#include <utility>

namespace comfreypass::scheduling {

namespace {

/** Polls for more upstreams than a sheet can hold come from a faulty peer. */
constexpr std::size_t maxUpstreams = 1'024;
/** Twice the engines of the planned fleet; a state that is dropped makes its engine start cold. */
constexpr std::size_t maxRamps = 1'200;
constexpr std::size_t rememberedHolders = 8;
/** Rounds of a term in which votes carry the ramp states, so that a lost vote loses none. */
constexpr std::uint64_t roundsWithRamps = 3;

bool ranksBefore(const core::upstream_name &upstream, const core::node_name &left,
                 const core::node_name &right)
{
    const auto leftWeight = core::rendezvousWeight(upstream.text(), left);
    const auto rightWeight = core::rendezvousWeight(upstream.text(), right);
    return leftWeight != rightWeight ? leftWeight > rightWeight : left < right;
}

core::duration withDrift(core::duration value)
{
    return value + value / 100;
}

} // namespace

vote_ledger::vote_ledger(core::time_point start, core::duration longestLease)
    : m_firstVote(start + withDrift(longestLease)), m_longestLease(longestLease)
{ }

lease_vote vote_ledger::onPoll(const core::node_identity &from, const lease_poll &poll,
                               std::vector<running_dispatch> running, core::time_point now)
{
    lease_vote vote;
    vote.upstream = poll.upstream;
    vote.sequence = poll.sequence;
    vote.running = std::move(running);
    const bool known = m_upstreams.contains(poll.upstream);
    if (!known && m_upstreams.size() >= maxUpstreams)
        return vote;

    upstream_entry &entry = m_upstreams[poll.upstream];
    if (const auto preferred = refusalFor(entry, from, poll, now)) {
        vote.preferred = *preferred;
        return vote;
    }
    promiseTo(entry, from, poll, now);
    keepRamps(entry, poll.ramps);
    vote.promised = true;
    if (poll.sequence >= entry.given->firstSequence + roundsWithRamps)
        return vote;
    vote.ramps.reserve(entry.ramps.size());
    for (const auto &[engine, state] : entry.ramps)
        vote.ramps.push_back(state);
    return vote;
}

std::optional<core::node_name> vote_ledger::refusalFor(upstream_entry &entry,
                                                       const core::node_identity &from,
                                                       const lease_poll &poll,
                                                       core::time_point now) const
{
    const bool validLease = poll.lease > core::duration::zero() && poll.lease <= m_longestLease;
    if (now < m_firstVote || !validLease)
        return core::node_name{};

    const bool held = entry.given && now < entry.given->expires;
    const bool holds = held && entry.given->holder == from;
    if (!holds && poll.sequence <= answeredSequence(entry, from))
        return held ? entry.given->holder.name : core::node_name{};
    // A vote lists what runs now. It must not carry the number of a poll that is older than one
    // already answered, because the scheduler orders the lists by these numbers.
    if (holds && poll.sequence < entry.given->lastSequence)
        return core::node_name{};

    const bool challenged = entry.challenger && now < entry.challengerExpires
                            && *entry.challenger != from.name
                            && ranksBefore(poll.upstream, *entry.challenger, from.name);
    if (challenged)
        return entry.challenger;
    if (!held || holds)
        return std::nullopt;

    if (!ranksBefore(poll.upstream, from.name, entry.given->holder.name))
        return entry.given->holder.name;
    entry.challenger = from.name;
    entry.challengerExpires = now + m_longestLease;
    return from.name;
}

void vote_ledger::promiseTo(upstream_entry &entry, const core::node_identity &from,
                            const lease_poll &poll, core::time_point now)
{
    const bool renewal = entry.given && now < entry.given->expires && entry.given->holder == from;
    if (!renewal)
        entry.given = granted_lease{from, now, poll.sequence, poll.sequence};
    entry.given->expires = std::max(entry.given->expires, now + poll.lease);
    entry.given->lastSequence = poll.sequence;
    if (entry.challenger == from.name)
        entry.challenger.reset();

    std::erase_if(entry.answered, [&](const auto &item) { return item.first == from; });
    if (entry.answered.size() >= rememberedHolders)
        entry.answered.erase(entry.answered.begin());
    entry.answered.emplace_back(from, poll.sequence);
}

std::uint64_t vote_ledger::answeredSequence(const upstream_entry &entry,
                                            const core::node_identity &from)
{
    const auto found = std::find_if(entry.answered.begin(), entry.answered.end(),
                                    [&](const auto &item) { return item.first == from; });
    return found == entry.answered.end() ? 0 : found->second;
}

void vote_ledger::keepRamps(upstream_entry &entry, std::span<const ramp_state> ramps)
{
    for (const ramp_state &state : ramps) {
        const auto found = entry.ramps.find(state.engine);
        if (found != entry.ramps.end()) {
            if (state.version > found->second.version)
                found->second = state;
            continue;
        }
        if (entry.ramps.size() >= maxRamps)
            entry.ramps.erase(entry.ramps.begin());
        entry.ramps.emplace(state.engine, state);
    }
}

void vote_ledger::onStepDown(const core::node_identity &from, const step_down &message)
{
    const auto found = m_upstreams.find(message.upstream);
    if (found == m_upstreams.end())
        return;
    upstream_entry &entry = found->second;
    if (entry.given && entry.given->holder == from)
        entry.given.reset();
    if (entry.challenger == from.name)
        entry.challenger.reset();
}

bool vote_ledger::mayUse(const core::node_identity &grantor, const permit_grant &permit,
                         core::time_point now) const
{
    const auto found = m_upstreams.find(permit.upstream);
    if (found == m_upstreams.end() || !found->second.given)
        return false;
    const granted_lease &given = *found->second.given;
    return given.holder == grantor && now < given.expires
           && permit.leaseSequence >= given.firstSequence
           && permit.leaseSequence <= given.lastSequence
           && given.lastSequence < permit.leaseSequence + permitRounds;
}

std::optional<core::node_identity> vote_ledger::holder(const core::upstream_name &upstream,
                                                       core::time_point now) const
{
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end() || !found->second.given || now >= found->second.given->expires)
        return std::nullopt;
    return found->second.given->holder;
}

} // namespace comfreypass::scheduling
