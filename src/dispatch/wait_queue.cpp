#include "dispatch/wait_queue.h"

#include <algorithm>

namespace comfreypass::dispatch {

void wait_queue::push(const waiting_request &request)
{
    m_byPriority[request.priority].push_back(request);
    ++m_size;
}

std::optional<waiting_request> wait_queue::next(core::time_point now,
                                                std::span<const core::request_id> passedOver) const
{
    const auto isCandidate = [passedOver](const waiting_request &each) {
        return std::ranges::find(passedOver, each.id) == passedOver.end();
    };
    for (const auto &[priority, queued] : m_byPriority) {
        const auto first = std::ranges::find_if(queued, isCandidate);
        if (first == queued.end())
            continue;
        const auto onTime = std::find_if(first, queued.end(), [&](const waiting_request &each) {
            return each.objectiveAt > now && isCandidate(each);
        });
        return onTime == queued.end() ? *first : *onTime;
    }
    return std::nullopt;
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

std::optional<std::uint32_t> wait_queue::highestPriority() const noexcept
{
    if (m_byPriority.empty())
        return std::nullopt;
    return m_byPriority.begin()->first;
}

} // namespace comfreypass::dispatch
