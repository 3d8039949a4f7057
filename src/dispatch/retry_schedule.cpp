#include "dispatch/retry_schedule.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace comfreypass::dispatch {

namespace {

/** Time constant of the counts; shorter than the waves of load that cause refusals. */
constexpr double timeConstantSeconds = 2;

/** Priorities per upstream; configurations use a few dozen. */
constexpr std::size_t maxPriorities = 256;

/** Callers ignore a longer delay than this share of the time that they have left. */
constexpr int maxDelayDivisor = 3;

/** Share of refused requests from which the whole range is used; callers must miss the wave. */
constexpr double fullPressure = 0.5;

double decay(core::time_point since, core::time_point now)
{
    return std::exp(-std::chrono::duration<double>(now - since).count() / timeConstantSeconds);
}

} // namespace

retry_schedule::priority_state *retry_schedule::advanced(std::uint32_t priority,
                                                         core::time_point now)
{
    if (m_priorities.size() >= maxPriorities && !m_priorities.contains(priority))
        return nullptr;
    priority_state &state = m_priorities[priority];
    const double factor = decay(state.updatedAt, now);
    state.asked *= factor;
    state.refused *= factor;
    state.updatedAt = now;
    return &state;
}

void retry_schedule::onAsked(std::uint32_t priority, core::time_point now)
{
    if (priority_state *state = advanced(priority, now))
        state->asked += 1;
}

void retry_schedule::onRefused(std::uint32_t priority, core::time_point now)
{
    if (priority_state *state = advanced(priority, now))
        state->refused += 1;
}

// The added request keeps a single refusal after a quiet time from counting as full pressure.
double retry_schedule::pressure(std::uint32_t priority, core::time_point now) const
{
    const auto found = m_priorities.find(priority);
    if (found == m_priorities.end())
        return 0;
    const double factor = decay(found->second.updatedAt, now);
    return std::clamp(found->second.refused * factor / (found->second.asked * factor + 1), 0.0,
                      1.0);
}

core::duration retry_schedule::delay(std::uint32_t priority, core::duration usual,
                                     core::duration timeLeft, double random,
                                     core::time_point now) const
{
    using fractional = std::chrono::duration<double, core::duration::period>;
    const core::duration longest = std::max(timeLeft, core::duration::zero()) / maxDelayDivisor;
    const double share = std::min(1.0, pressure(priority, now) / fullPressure);
    const fractional shortest = std::min(usual, longest);
    const fractional end = shortest + share * (longest - shortest);
    // Callers of one overload return over the whole upper half of the range.
    const fractional begin = std::max(shortest, end / 2);
    return std::chrono::duration_cast<core::duration>(begin + random * (end - begin));
}

} // namespace comfreypass::dispatch
