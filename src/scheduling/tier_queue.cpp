#include "scheduling/tier_queue.h"

#include "core/invariant.h"

#include <algorithm>

namespace comfreypass::scheduling {

tier_queue::tier_queue(std::size_t capacity) : m_capacity(capacity) { }

void tier_queue::push(queued_request request, double teamWeight)
{
    COMFREYPASS_INVARIANT(request.request.tier < core::tierCount && teamWeight > 0);
    const request_ref ref = request.ref;
    const auto [found, inserted] = m_entries.try_emplace(ref);
    COMFREYPASS_INVARIANT(inserted);
    entry &item = found->second;
    item.request = std::move(request);
    item.teamWeight = teamWeight;
    item.arrival = ++m_arrivals;
    item.suspended = m_suspended.contains(ref.incarnation);
    m_newest.at(item.request.request.tier).emplace(item.arrival, &item);
    m_byStart.emplace(startOrder(item), &item);
    if (!item.suspended)
        enterLane(item);
}

const queued_request *tier_queue::head(core::tier tier, lane which) const
{
    const lane_queue &line = m_lanes.at(tier).at(static_cast<std::size_t>(which));
    if (line.active.empty())
        return nullptr;
    const team_queue &team = *std::get<team_queue *>(*line.active.begin());
    return &team.requests.begin()->second->request;
}

queued_request tier_queue::pop(core::tier tier, lane which)
{
    lane_queue &line = m_lanes.at(tier).at(static_cast<std::size_t>(which));
    COMFREYPASS_INVARIANT(!line.active.empty());
    team_queue &team = *std::get<team_queue *>(*line.active.begin());
    entry &item = *team.requests.begin()->second;

    line.virtualTime = std::max(line.virtualTime, team.startTag);
    team.finishTag = team.startTag + item.request.request.cost.total() / item.teamWeight;
    line.active.erase(line.active.begin());
    team.startTag = team.finishTag;
    line.active.emplace(team.startTag, team.firstArrival, &team);
    return take(item);
}

const queued_request *tier_queue::findOffered(const request_ref &ref) const
{
    const auto found = m_entries.find(ref);
    return found == m_entries.end() || found->second.suspended ? nullptr : &found->second.request;
}

std::optional<queued_request> tier_queue::remove(request_ref ref)
{
    const auto found = m_entries.find(ref);
    if (found == m_entries.end())
        return std::nullopt;
    return take(found->second);
}

std::optional<core::tier> tier_queue::lowestTier() const
{
    for (std::size_t tier = core::tierCount; tier-- > 0;) {
        if (!m_newest.at(tier).empty())
            return static_cast<core::tier>(tier);
    }
    return std::nullopt;
}

std::optional<queued_request> tier_queue::displaceBelow(core::tier above)
{
    const auto lowest = lowestTier();
    if (!lowest || *lowest <= above)
        return std::nullopt;
    return take(*m_newest.at(*lowest).rbegin()->second);
}

std::vector<queued_request> tier_queue::removeOverdue(core::time_point now)
{
    std::vector<queued_request> overdue;
    while (!m_byStart.empty() && m_byStart.begin()->first.first < now)
        overdue.push_back(take(*m_byStart.begin()->second));
    return overdue;
}

std::vector<const queued_request *> tier_queue::startingBefore(core::time_point time,
                                                               std::size_t limit) const
{
    std::vector<const queued_request *> found;
    for (const auto &[order, item] : m_byStart) {
        if (order.first >= time || found.size() == limit)
            break;
        if (!item->suspended)
            found.push_back(&item->request);
    }
    return found;
}

void tier_queue::suspend(core::incarnation incarnation)
{
    if (!m_suspended.insert(incarnation).second)
        return;
    for (auto &[ref, item] : m_entries) {
        if (ref.incarnation != incarnation)
            continue;
        leaveLane(item);
        item.suspended = true;
    }
}

void tier_queue::resume(core::incarnation incarnation)
{
    if (m_suspended.erase(incarnation) == 0)
        return;
    for (auto &[ref, item] : m_entries) {
        if (ref.incarnation != incarnation)
            continue;
        item.suspended = false;
        enterLane(item);
    }
}

std::vector<queued_request> tier_queue::removeNode(core::incarnation incarnation)
{
    std::vector<entry *> items;
    for (auto &[ref, item] : m_entries) {
        if (ref.incarnation == incarnation)
            items.push_back(&item);
    }
    std::vector<queued_request> removed;
    removed.reserve(items.size());
    for (entry *item : items)
        removed.push_back(take(*item));
    m_suspended.erase(incarnation);
    return removed;
}

tier_queue::lane_queue &tier_queue::laneOf(const entry &item)
{
    const lane which = item.request.small ? lane::Small : lane::Large;
    return m_lanes.at(item.request.request.tier).at(static_cast<std::size_t>(which));
}

void tier_queue::enterLane(entry &item)
{
    lane_queue &line = laneOf(item);
    team_queue &team = line.teams[item.request.request.team];
    if (team.firstArrival == 0)
        team.firstArrival = item.arrival;
    if (team.requests.empty()) {
        team.startTag = std::max(line.virtualTime, team.finishTag);
        line.active.emplace(team.startTag, team.firstArrival, &team);
    }
    team.requests.emplace(startOrder(item), &item);
}

void tier_queue::leaveLane(entry &item)
{
    lane_queue &line = laneOf(item);
    const auto found = line.teams.find(item.request.request.team);
    COMFREYPASS_INVARIANT(found != line.teams.end());
    team_queue &team = found->second;
    team.requests.erase(startOrder(item));
    if (!team.requests.empty())
        return;
    line.active.erase({team.startTag, team.firstArrival, &team});
    // A team's past service matters only while others of the lane still wait behind it.
    if (team.finishTag <= line.virtualTime)
        line.teams.erase(found);
    if (!line.active.empty())
        return;
    line.teams.clear();
    line.virtualTime = 0;
}

queued_request tier_queue::take(entry &item)
{
    if (!item.suspended)
        leaveLane(item);
    m_newest.at(item.request.request.tier).erase(item.arrival);
    m_byStart.erase(startOrder(item));
    queued_request taken = std::move(item.request);
    m_entries.erase(taken.ref);
    return taken;
}

tier_queue::start_order tier_queue::startOrder(const entry &item)
{
    return {item.request.latestStart, item.arrival};
}

} // namespace comfreypass::scheduling
