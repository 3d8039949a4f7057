#include "experiment/engine_model.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace comfreypass::experiment {

void engine_model::submit(core::request_id id, double promptTokens, std::uint32_t events)
{
    m_requests.push_back({id, promptTokens, promptTokens, events, events});
}

double engine_model::cancel(core::request_id id)
{
    const auto found = std::ranges::find(m_requests, id, &running_request::id);
    if (found == m_requests.end())
        return 0;
    const double prefilled = found->promptTokens - found->promptRemaining;
    m_requests.erase(found);
    return prefilled;
}

std::vector<core::request_id> engine_model::crash()
{
    std::vector<core::request_id> lost;
    for (const running_request &each : std::exchange(m_requests, {}))
        lost.push_back(each.id);
    return lost;
}

std::vector<engine_progress> engine_model::step()
{
    std::vector<engine_progress> progress;
    const std::size_t running = runningCount();
    double prefillBudget
        = m_group.promptTokensPerSecond * std::chrono::duration<double>(stepTime()).count();
    for (std::size_t i = 0; i < running; ++i) {
        running_request &each = m_requests[i];
        if (each.promptRemaining > 0) {
            const double prefilled = std::min(prefillBudget, each.promptRemaining);
            each.promptRemaining -= prefilled;
            prefillBudget -= prefilled;
            if (each.promptRemaining > 0)
                continue;
        }
        const bool first = each.eventsRemaining == each.events;
        --each.eventsRemaining;
        if (first || each.eventsRemaining == 0)
            progress.push_back({each.id, first, each.eventsRemaining == 0});
    }
    std::erase_if(m_requests,
                  [](const running_request &each) { return each.eventsRemaining == 0; });
    return progress;
}

core::duration engine_model::stepTime() const
{
    return m_group.step + m_group.stepGrowth * static_cast<int>(runningCount() - 1);
}

std::size_t engine_model::runningCount() const noexcept
{
    return std::min<std::size_t>(m_requests.size(), m_group.slots);
}

} // namespace comfreypass::experiment
