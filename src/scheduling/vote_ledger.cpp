#include "scheduling/vote_ledger.h"

#include "core/rendezvous.h"

#include <algorithm>
#include <utility>

namespace comfreypass::scheduling {

namespace {

/** A sheet cannot hold more upstreams; polls for more of them come from a faulty peer. */
constexpr std::size_t maxUpstreams = 1'024;
/** Twice the engines of the planned fleet. An engine whose state is dropped starts cold. */
constexpr std::size_t maxRamps = 1'200;
constexpr std::size_t maxRecentHolders = 8;
/** First rounds of a lease whose votes carry the ramp states; covers the loss of single votes. */
constexpr std::uint64_t roundsWithRamps = 3;

bool ranksBefore(const core::upstream_name &upstream, const core::node_name &left,
                 const core::node_name &right)
{
    const auto leftWeight = core::rendezvousWeight(upstream.text(), left);
    const auto rightWeight = core::rendezvousWeight(upstream.text(), right);
    return leftWeight != rightWeight ? leftWeight > rightWeight : left < right;
}

core::duration addDrift(core::duration value)
{
    return value + value / 100;
}

} // namespace

vote_ledger::vote_ledger(core::time_point start, core::duration maxLease)
    : m_earliestVote(start + addDrift(maxLease)), m_maxLease(maxLease)
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
    grantLease(entry, from, poll, now);
    storeRamps(entry, poll.ramps);
    vote.granted = true;
    if (poll.sequence >= entry.granted->firstSequence + roundsWithRamps)
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
    const bool validLease = poll.lease > core::duration::zero() && poll.lease <= m_maxLease;
    if (now < m_earliestVote || !validLease)
        return core::node_name{};

    const bool held = entry.granted && now < entry.granted->expires;
    const bool holds = held && entry.granted->holder == from;
    if (!holds && poll.sequence <= lastSequenceFrom(entry, from))
        return held ? entry.granted->holder.name : core::node_name{};
    // The scheduler orders the lists of running dispatches by the sequence of the poll. A vote
    // lists what runs now, so it must not carry an older sequence than a vote sent before.
    if (holds && poll.sequence < entry.granted->lastSequence)
        return core::node_name{};

    const bool challenged = entry.challenger && now < entry.challengerExpires
                            && *entry.challenger != from.name
                            && ranksBefore(poll.upstream, *entry.challenger, from.name);
    if (challenged)
        return entry.challenger;
    if (!held || holds)
        return std::nullopt;

    if (!ranksBefore(poll.upstream, from.name, entry.granted->holder.name))
        return entry.granted->holder.name;
    entry.challenger = from.name;
    entry.challengerExpires = now + m_maxLease;
    return from.name;
}

void vote_ledger::grantLease(upstream_entry &entry, const core::node_identity &from,
                             const lease_poll &poll, core::time_point now)
{
    const bool renewal
        = entry.granted && now < entry.granted->expires && entry.granted->holder == from;
    if (!renewal)
        entry.granted = granted_lease{from, now, poll.sequence, poll.sequence};
    entry.granted->expires = std::max(entry.granted->expires, now + poll.lease);
    entry.granted->lastSequence = poll.sequence;
    if (entry.challenger == from.name)
        entry.challenger.reset();

    std::erase_if(entry.lastSequences, [&](const auto &item) { return item.first == from; });
    if (entry.lastSequences.size() >= maxRecentHolders)
        entry.lastSequences.erase(entry.lastSequences.begin());
    entry.lastSequences.emplace_back(from, poll.sequence);
}

std::uint64_t vote_ledger::lastSequenceFrom(const upstream_entry &entry,
                                            const core::node_identity &from)
{
    const auto found = std::find_if(entry.lastSequences.begin(), entry.lastSequences.end(),
                                    [&](const auto &item) { return item.first == from; });
    return found == entry.lastSequences.end() ? 0 : found->second;
}

void vote_ledger::storeRamps(upstream_entry &entry, std::span<const ramp_state> ramps)
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
    if (entry.granted && entry.granted->holder == from)
        entry.granted.reset();
    if (entry.challenger == from.name)
        entry.challenger.reset();
}

bool vote_ledger::mayUse(const core::node_identity &grantor, const permit_grant &permit,
                         core::time_point now) const
{
    const auto found = m_upstreams.find(permit.upstream);
    if (found == m_upstreams.end() || !found->second.granted)
        return false;
    const granted_lease &granted = *found->second.granted;
    return granted.holder == grantor && now < granted.expires
           && permit.leaseSequence >= granted.firstSequence
           && permit.leaseSequence <= granted.lastSequence
           && granted.lastSequence < permit.leaseSequence + permitRounds;
}

std::optional<core::node_identity> vote_ledger::holder(const core::upstream_name &upstream,
                                                       core::time_point now) const
{
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end() || !found->second.granted
        || now >= found->second.granted->expires)
        return std::nullopt;
    return found->second.granted->holder;
}

} // namespace comfreypass::scheduling
