#include "dispatch/service_share.h"

#include <chrono>
#include <cmath>
#include <cstddef>

namespace comfreypass::dispatch {

namespace {

/** Time constant of the counts; about a wave of load, so that a burst does not reverse the order.
 */
constexpr double timeConstantSeconds = 8;

/** Priorities per upstream; configurations use a few dozen. */
constexpr std::size_t maxPriorities = 256;

/** An overtaken request waits for at most this part of its own service time. */
constexpr double maxLengthRatio = 0.25;

/**
 * The overtaking priority may be served at most this many times as often as the overtaken one. The
 * counts are attempts, and refused callers return, so equal shares of the attempts would serve
 * the less urgent kind more often.
 */
constexpr double maxShareRatio = 0.6;

/** Weight of a new observation in the smoothed length. */
constexpr double lengthWeight = 0.05;

/** Fewer requests than this say little about the share that was served. */
constexpr double minAsked = 3;

double decay(core::time_point since, core::time_point now)
{
    return std::exp(-std::chrono::duration<double>(now - since).count() / timeConstantSeconds);
}

} // namespace

service_share::priority_state *service_share::advanced(std::uint32_t priority, core::time_point now)
{
    if (m_priorities.size() >= maxPriorities && !m_priorities.contains(priority))
        return nullptr;
    priority_state &state = m_priorities[priority];
    const double factor = decay(state.updatedAt, now);
    state.asked *= factor;
    state.granted *= factor;
    state.updatedAt = now;
    return &state;
}

void service_share::onAsked(std::uint32_t priority, double outputTokens, core::time_point now)
{
    priority_state *state = advanced(priority, now);
    if (state == nullptr)
        return;
    state->asked += 1;
    if (outputTokens > 0)
        state->outputTokens
            = state->outputTokens > 0
                  ? state->outputTokens + lengthWeight * (outputTokens - state->outputTokens)
                  : outputTokens;
}

void service_share::onGranted(std::uint32_t priority, core::time_point now)
{
    if (priority_state *state = advanced(priority, now))
        state->granted += 1;
}

std::uint32_t service_share::effectivePriority(std::uint32_t priority, core::time_point now) const
{
    const auto own = m_priorities.find(priority);
    if (own == m_priorities.end() || own->second.asked < minAsked)
        return priority;
    const std::uint32_t firstOfTeams = priority - priority % routePrioritiesPerTeamPriority;
    bool isMostUrgent = true;
    for (auto each = m_priorities.lower_bound(firstOfTeams); each != own; ++each) {
        if (!isRecent(each->second, now))
            continue;
        const bool overtakes = !isMostUrgent && isShorter(own->second, each->second)
                               && shareOf(own->second) < maxShareRatio * shareOf(each->second);
        if (overtakes)
            return each->first;
        isMostUrgent = false;
    }
    return priority;
}

// Both counts decay alike, so their ratio does not depend on the time of the last update.
double service_share::shareOf(const priority_state &state)
{
    return state.asked > 0 ? state.granted / state.asked : 1;
}

bool service_share::isShorter(const priority_state &state, const priority_state &other)
{
    return state.outputTokens > 0 && state.outputTokens <= maxLengthRatio * other.outputTokens;
}

bool service_share::isRecent(const priority_state &state, core::time_point now)
{
    return state.asked * decay(state.updatedAt, now) >= minAsked;
}

} // namespace comfreypass::dispatch
