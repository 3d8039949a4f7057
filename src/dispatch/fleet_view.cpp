#include "dispatch/fleet_view.h"

#include "core/hash.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <string>
#include <utility>

namespace comfreypass::dispatch {

namespace {

/**
 * Nodes that read the source even in a small fleet. If one of them is partitioned and another one
 * crashes at the same time, two still receive a change immediately.
 */
constexpr std::size_t minReaders = 4;

/** Status intervals without a status before a node is unreachable: two lost ones and a late one. */
constexpr int toleratedIntervals = 3;

/** Nodes per additional reader, since each reader forwards changes to its share of the nodes. */
constexpr std::size_t nodesPerAdditionalReader = 64;

/** Spreads the readers over failure domains, whose addresses are often contiguous. */
std::uint64_t readerOrder(std::uint32_t address)
{
    return core::hash64(std::to_string(address));
}

void keepUnreportedUsage(const std::vector<node_status::team_usage> &before,
                         std::vector<node_status::team_usage> &now)
{
    for (const node_status::team_usage &usage : before) {
        if (std::ranges::find(now, usage.team, &node_status::team_usage::team) == now.end())
            now.push_back(usage);
    }
}

} // namespace

fleet_view::fleet_view(std::uint32_t self, std::string domain, const fleet_timeouts &timeouts)
    : m_self(self), m_readerOrder(readerOrder(self)), m_domain(std::move(domain)),
      m_timeouts(timeouts)
{ }

void fleet_view::setSeeds(const std::vector<std::uint32_t> &seeds, core::time_point now)
{
    m_seeds = seeds;
    for (const std::uint32_t seed : seeds)
        addCandidate(seed, now);
}

std::vector<std::uint32_t> fleet_view::takeForgottenSeeds(core::time_point now)
{
    std::vector<std::uint32_t> forgotten;
    if (now < m_nextSeedContact)
        return forgotten;
    std::ranges::copy_if(m_seeds, std::back_inserter(forgotten), [this](std::uint32_t seed) {
        return seed != m_self && !m_members.contains(seed);
    });
    if (!forgotten.empty())
        m_nextSeedContact = now + m_timeouts.seedContactInterval;
    return forgotten;
}

void fleet_view::addCandidate(std::uint32_t address, core::time_point now)
{
    if (address == m_self)
        return;
    const auto [position, isNew] = m_members.try_emplace(address);
    if (!isNew)
        return;
    position->second.status.address = address;
    position->second.readerOrder = readerOrder(address);
    position->second.firstSeenAt = now;
    position->second.lastSeenAt = now;
}

status_change fleet_view::onStatus(node_status status, core::time_point now)
{
    status_change change;
    if (status.address == m_self)
        return change;
    for (const std::uint32_t address : status.knownNodes)
        addCandidate(address, now);
    const auto [position, inserted] = m_members.try_emplace(status.address);
    fleet_member &member = position->second;
    if (inserted)
        member.readerOrder = readerOrder(status.address);
    change.isNew = inserted || !member.hasReported;
    change.restarted = !change.isNew && member.status.incarnation != status.incarnation;
    change.returned = !change.isNew && !isReachable(member, now);
    const bool sameIncarnation = !change.isNew && !change.restarted;
    // Datagrams may arrive out of order; older ones contain nothing new.
    if (sameIncarnation && status.sequence <= member.status.sequence)
        return {};
    for (const node_status::team_usage &usage : status.teamUsage) {
        double before = 0;
        if (sameIncarnation) {
            const auto previous = std::ranges::find(member.status.teamUsage, usage.team,
                                                    &node_status::team_usage::team);
            before = previous == member.status.teamUsage.end() ? 0 : previous->total;
        }
        if (usage.total != before)
            change.newUsage.push_back({usage.team, usage.total - before});
    }
    if (change.isNew)
        member.firstSeenAt = now;
    // Teams that are missing in this status have not changed.
    if (sameIncarnation)
        keepUnreportedUsage(member.status.teamUsage, status.teamUsage);
    member.hasReported = true;
    member.lastSeenAt = now;
    member.status = std::move(status);
    m_unreachable.erase(member.status.address);
    return change;
}

bool fleet_view::acceptEngineUpdate(const engine_update &update)
{
    const auto found = m_members.find(update.address);
    if (found == m_members.end() || !found->second.hasReported)
        return false;
    node_status &last = found->second.status;
    if (last.incarnation != update.incarnation || update.sequence <= last.sequence)
        return false;
    last.sequence = update.sequence;
    return true;
}

std::vector<node_location> fleet_view::activeNodes(core::time_point now) const
{
    std::vector<node_location> result = {{m_self, m_domain}};
    for (const auto &[address, member] : m_members) {
        if (isReachable(member, now) && !member.status.leaving)
            result.push_back({address, member.status.domain});
    }
    std::ranges::sort(result, {}, &node_location::address);
    return result;
}

std::vector<std::uint32_t> fleet_view::peers() const
{
    std::vector<std::uint32_t> addresses;
    addresses.reserve(m_members.size());
    for (const auto &[address, member] : m_members)
        addresses.push_back(address);
    return addresses;
}

std::vector<std::uint32_t> fleet_view::takeUnreachable(core::time_point now)
{
    std::vector<std::uint32_t> unreachable;
    for (const auto &[address, member] : m_members) {
        if (member.hasReported && !isReachable(member, now)
            && m_unreachable.try_emplace(address, true).second)
            unreachable.push_back(address);
    }
    return unreachable;
}

void fleet_view::removeExpired(core::time_point now)
{
    std::erase_if(m_members, [&](const auto &entry) {
        const fleet_member &member = entry.second;
        const bool left = member.hasReported && member.status.leaving && !isReachable(member, now);
        return left || now - member.lastSeenAt > m_timeouts.retention;
    });
}

fleet_share fleet_view::share(core::time_point now) const
{
    fleet_share result;
    for (const auto &[address, member] : m_members) {
        if (!member.hasReported)
            continue;
        ++result.known;
        if (isReachable(member, now))
            ++result.reachable;
        if (address < m_self)
            ++result.rank;
    }
    return result;
}

std::vector<const node_status *> fleet_view::readyPeers(std::string_view domain,
                                                        core::time_point now) const
{
    std::vector<const node_status *> ready;
    for (const auto &[address, member] : m_members) {
        if (isReachable(member, now) && member.status.ready && !member.status.leaving)
            ready.push_back(&member.status);
    }
    std::stable_partition(ready.begin(), ready.end(),
                          [domain](const node_status *each) { return each->domain == domain; });
    return ready;
}

std::vector<const node_status *>
fleet_view::peersAhead(std::size_t collection, record_revision revision, core::time_point now) const
{
    std::vector<const node_status *> newer;
    for (const auto &[address, member] : m_members) {
        if (isReachable(member, now) && collection < member.status.revisions.size()
            && member.status.revisions[collection] > revision)
            newer.push_back(&member.status);
    }
    return newer;
}

std::vector<const node_status *> fleet_view::peersWithLaterConfiguration(std::uint64_t version,
                                                                         core::time_point now) const
{
    std::vector<const node_status *> later;
    for (const auto &[address, member] : m_members) {
        if (isReachable(member, now) && member.status.configurationVersion > version)
            later.push_back(&member.status);
    }
    return later;
}

std::vector<std::uint32_t> fleet_view::peersBehind(std::span<const record_revision> revisions,
                                                   core::time_point now) const
{
    std::vector<std::uint32_t> behind;
    for (const auto &[address, member] : m_members) {
        const std::vector<record_revision> &known = member.status.revisions;
        const bool isBehind = !std::ranges::equal(known, revisions, std::greater_equal{});
        if (isReachable(member, now) && isBehind)
            behind.push_back(address);
    }
    return behind;
}

bool fleet_view::isSourceReader(core::time_point now) const
{
    const std::size_t wanted = minReaders + share(now).reachable / nodesPerAdditionalReader;
    std::size_t before = 0;
    for (const auto &[address, member] : m_members) {
        // A reader without an answer may be turned away like those that it replaces.
        const bool answered = member.status.source != source_state::Lost
                              && member.status.source != source_state::Starting;
        const bool counts = isReachable(member, now) && !member.status.leaving && answered;
        if (counts && member.readerOrder < m_readerOrder)
            ++before;
    }
    return before < wanted;
}

fleet_view::reader_rank fleet_view::readerRank(core::time_point now) const
{
    reader_rank rank;
    for (const auto &[address, member] : m_members) {
        if (!isReachable(member, now) || member.status.source != source_state::Working)
            continue;
        ++rank.count;
        if (member.readerOrder < m_readerOrder)
            ++rank.index;
    }
    return rank;
}

bool fleet_view::sourceAvailableAtPeer(core::time_point now) const
{
    return std::ranges::any_of(m_members, [&](const auto &entry) {
        return isReachable(entry.second, now)
               && entry.second.status.source == source_state::Working;
    });
}

bool fleet_view::sourceLostAtPeer(core::time_point now) const
{
    return std::ranges::any_of(m_members, [&](const auto &entry) {
        return isReachable(entry.second, now) && entry.second.status.source == source_state::Lost;
    });
}

std::uint32_t fleet_view::queuedAtPeers(std::string_view upstream, std::uint32_t priority,
                                        core::time_point now) const
{
    std::uint32_t count = 0;
    for (const auto &[address, member] : m_members) {
        if (!isReachable(member, now))
            continue;
        for (const node_status::queue_length &queue : member.status.queues) {
            if (queue.upstream == upstream && queue.highestPriority <= priority)
                count += queue.count;
        }
    }
    return count;
}

bool fleet_view::isReachable(const fleet_member &member, core::time_point now) const
{
    return member.hasReported && now - member.lastSeenAt <= unreachableAfter();
}

core::duration fleet_view::unreachableAfter() const
{
    return std::max(m_timeouts.unreachableAfter, m_statusInterval * toleratedIntervals);
}

} // namespace comfreypass::dispatch
