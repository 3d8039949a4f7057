#include "scheduling/lease_holder.h"

#include "core/invariant.h"

#include <algorithm>
#include <chrono>

namespace comfreypass::scheduling {

namespace {

constexpr int roundsPerLease = 3;
/** The leases of older rounds have expired. */
constexpr std::size_t maxRecentRounds = 4;

core::duration subtractDrift(core::duration value)
{
    return value - value / 100;
}

} // namespace

lease_holder::lease_holder(core::duration lease, core::duration maxColdDispatch)
    : m_lease(subtractDrift(lease)), m_pollInterval(lease / roundsPerLease),
      m_settleTime(maxColdDispatch + maxColdDispatch / 50)
{ }

void lease_holder::setVoters(std::span<const core::node_identity> live, std::size_t total)
{
    m_live.assign(live.begin(), live.end());
    std::sort(m_live.begin(), m_live.end());
    m_total = std::max<std::size_t>({total, live.size(), 1});
    const auto notLive = [&](const auto &item) {
        return !isLive(item.first);
    };
    std::erase_if(m_votes, notLive);
    std::erase_if(m_refused, [&](const auto &node) { return !isLive(node); });
    settleIfComplete();
}

void lease_holder::setListed(std::vector<core::node_name> names)
{
    m_listed = std::move(names);
    settleIfComplete();
}

void lease_holder::start(core::time_point now)
{
    using std::chrono::duration_cast, std::chrono::milliseconds;
    const auto millis = duration_cast<milliseconds>(now.time_since_epoch()).count();
    m_sequence
        = std::max(m_sequence, static_cast<std::uint64_t>(std::max<std::int64_t>(0, millis)));
    m_active = true;
    m_rounds.clear();
}

void lease_holder::stop()
{
    m_active = false;
    m_rounds.clear();
    m_votes.clear();
    m_refused.clear();
}

bool lease_holder::roundDue(core::time_point now) const
{
    return m_active && (m_rounds.empty() || now - m_rounds.back().second >= m_pollInterval);
}

std::uint64_t lease_holder::startRound(core::time_point now)
{
    COMFREYPASS_INVARIANT(m_active);
    m_rounds.emplace_back(++m_sequence, now);
    if (m_rounds.size() > maxRecentRounds)
        m_rounds.pop_front();
    return m_sequence;
}

lease_holder::vote_change lease_holder::onVote(const core::node_identity &from,
                                               const lease_vote &vote, core::time_point now)
{
    const auto round = std::find_if(m_rounds.begin(), m_rounds.end(),
                                    [&](const auto &item) { return item.first == vote.sequence; });
    if (round == m_rounds.end() || !isLive(from))
        return {};
    if (!vote.granted) {
        if (!vote.preferred.empty())
            m_refused.insert(from);
        return {.recent = true};
    }
    const core::time_point expires = round->second + m_lease;
    if (now >= expires)
        return {};

    m_refused.erase(from);
    const auto [held, gained] = m_votes.try_emplace(from, held_vote{expires, now, vote.sequence});
    held->second.expires = std::max(held->second.expires, expires);
    held->second.sequence = std::max(held->second.sequence, vote.sequence);
    m_earliestExpiry = gained ? std::min(m_earliestExpiry, expires) : m_earliestExpiry;
    settleIfComplete();
    return {.recent = true, .gained = gained};
}

bool lease_holder::drop(const core::node_identity &node)
{
    m_refused.erase(node);
    return m_votes.erase(node) > 0;
}

std::vector<core::node_identity> lease_holder::expire(core::time_point now)
{
    std::vector<core::node_identity> expired;
    if (now < m_earliestExpiry)
        return expired;
    m_earliestExpiry = core::time_point::max();
    for (auto it = m_votes.begin(); it != m_votes.end();) {
        if (now < it->second.expires) {
            m_earliestExpiry = std::min(m_earliestExpiry, it->second.expires);
            ++it;
            continue;
        }
        expired.push_back(it->first);
        it = m_votes.erase(it);
    }
    return expired;
}

std::uint64_t lease_holder::sequenceOf(const core::node_identity &node) const
{
    const auto found = m_votes.find(node);
    COMFREYPASS_INVARIANT(found != m_votes.end());
    return found->second.sequence;
}

std::size_t lease_holder::settled(core::time_point now) const
{
    const auto count = std::count_if(m_votes.begin(), m_votes.end(), [&](const auto &item) {
        return item.second.settled || now - item.second.since >= m_settleTime;
    });
    return static_cast<std::size_t>(count);
}

std::uint32_t lease_holder::share(std::uint32_t limit, std::size_t votes, std::size_t total)
{
    COMFREYPASS_INVARIANT(total >= 1);
    const std::uint64_t counted = std::min(votes, total);
    return static_cast<std::uint32_t>(limit * counted / total);
}

bool lease_holder::isLive(const core::node_identity &node) const
{
    return std::binary_search(m_live.begin(), m_live.end(), node);
}

void lease_holder::settleIfComplete()
{
    // Once the votes of all nodes are held, each node has listed the dispatches that it runs, also
    // those that another scheduler granted.
    if (!complete())
        return;
    for (auto &[node, vote] : m_votes)
        vote.settled = true;
}

bool lease_holder::complete() const
{
    if (m_listed.empty())
        return m_votes.size() >= m_total;
    return std::all_of(m_listed.begin(), m_listed.end(), [&](const core::node_name &name) {
        const auto found = m_votes.lower_bound({name, 0});
        return found != m_votes.end() && found->first.name == name;
    });
}

std::vector<core::node_name> lease_holder::settledNames(core::time_point now) const
{
    std::vector<core::node_name> names;
    for (const auto &[node, vote] : m_votes) {
        if (vote.settled || now - vote.since >= m_settleTime)
            names.push_back(node.name);
    }
    return names;
}

} // namespace comfreypass::scheduling
