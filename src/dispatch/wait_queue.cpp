#include "dispatch/wait_queue.h"

#include <algorithm>

namespace comfreypass::dispatch {

void wait_queue::push(const waiting_request &request)
{
    m_byPriority[request.priority].push_back(request);
    ++m_size;
}

std::optional<waiting_request> wait_queue::next(core::time_point now) const
{
    if (m_byPriority.empty())
        return std::nullopt;
    const std::deque<waiting_request> &queued = m_byPriority.begin()->second;
    const auto onTime = std::ranges::find_if(
        queued, [now](const waiting_request &each) { return each.objectiveAt > now; });
    return onTime == queued.end() ? queued.front() : *onTime;
}

std::vector<core::request_id> wait_queue::inOrder(core::time_point now) const
{
    std::vector<core::request_id> ids;
    ids.reserve(m_size);
    for (const auto &[priority, queued] : m_byPriority) {
        for (const bool onTime : {true, false}) {
            for (const waiting_request &each : queued) {
                if ((each.objectiveAt > now) == onTime)
                    ids.push_back(each.id);
            }
        }
    }
    return ids;
}

bool wait_queue::remove(core::request_id id)
{
    for (auto level = m_byPriority.begin(); level != m_byPriority.end(); ++level) {
        const auto found = std::ranges::find(level->second, id, &waiting_request::id);
        if (found == level->second.end())
            continue;
        level->second.erase(found);
        if (level->second.empty())
            m_byPriority.erase(level);
        --m_size;
        return true;
    }
    return false;
}

std::vector<waiting_request> wait_queue::takeExpired(core::time_point now)
{
    std::vector<waiting_request> expired;
    for (auto level = m_byPriority.begin(); level != m_byPriority.end();) {
        std::deque<waiting_request> &queued = level->second;
        for (auto each = queued.begin(); each != queued.end();) {
            if (each->queueDeadline > now) {
                ++each;
                continue;
            }
            expired.push_back(*each);
            each = queued.erase(each);
            --m_size;
        }
        level = queued.empty() ? m_byPriority.erase(level) : std::next(level);
    }
    return expired;
}

std::size_t wait_queue::ahead(std::uint32_t priority) const noexcept
{
    std::size_t count = 0;
    for (const auto &[level, queued] : m_byPriority) {
        if (level > priority)
            break;
        count += static_cast<std::size_t>(
            std::ranges::count(queued, false, &waiting_request::isRunning));
    }
    return count;
}

std::size_t wait_queue::countOf(std::uint32_t priority) const noexcept
{
    const auto found = m_byPriority.find(priority);
    return found == m_byPriority.end() ? 0 : found->second.size();
}

std::optional<std::uint32_t> wait_queue::highestPriority() const noexcept
{
    if (m_byPriority.empty())
        return std::nullopt;
    return m_byPriority.begin()->first;
}

} // namespace comfreypass::dispatch
