#include "dispatch/wait_forecast.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace comfreypass::dispatch {

namespace {

using namespace std::chrono_literals;

/** Time constant of the rates; shorter than a wave of load, longer than one generation. */
constexpr double timeConstantSeconds = 2;

/** Priorities per upstream; configurations use a few dozen. */
constexpr std::size_t maxPriorities = 256;

/** A node that has granted nothing recently may still get slots at this rate. */
constexpr double minGrantsPerSecond = 2;

/** A grant of a less urgent request this recent shows that slots are left for this priority. */
constexpr core::duration recentGrant = 1s;

/** Interval at which one request per priority is admitted against the forecast. */
constexpr core::duration probeInterval = 1s;

constexpr double maxWaitSeconds = 60;

double decay(core::time_point since, core::time_point now)
{
    return std::exp(-std::chrono::duration<double>(now - since).count() / timeConstantSeconds);
}

} // namespace

wait_forecast::priority_state *wait_forecast::advanced(std::uint32_t priority, core::time_point now)
{
    if (m_priorities.size() >= maxPriorities && !m_priorities.contains(priority))
        return nullptr;
    priority_state &state = m_priorities[priority];
    const double factor = decay(state.updatedAt, now);
    state.admitted *= factor;
    state.admittedOnTime *= factor;
    state.granted *= factor;
    state.updatedAt = now;
    return &state;
}

void wait_forecast::onAdmitted(std::uint32_t priority, bool isLate, core::time_point now)
{
    if (priority_state *state = advanced(priority, now)) {
        state->admitted += 1 / timeConstantSeconds;
        state->admittedOnTime += isLate ? 0 : 1 / timeConstantSeconds;
    }
}

void wait_forecast::onGranted(std::uint32_t priority, core::time_point now)
{
    if (priority_state *state = advanced(priority, now)) {
        state->granted += 1 / timeConstantSeconds;
        state->grantedAt = now;
    }
}

core::duration wait_forecast::expectedWait(const newcomer &request, core::time_point now) const
{
    double granted = 0;
    double overtaking = 0;
    for (const auto &[each, state] : m_priorities) {
        const double factor = decay(state.updatedAt, now);
        granted += state.granted * factor;
        if (each < request.priority)
            overtaking += state.admitted * factor;
        else if (each == request.priority && request.isLate)
            overtaking += state.admittedOnTime * factor;
    }
    const double left = std::max(granted, minGrantsPerSecond) - overtaking;
    const double wait = left > 0 ? static_cast<double>(request.ahead) / left : maxWaitSeconds;
    return std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double>(std::min(wait, maxWaitSeconds)));
}

bool wait_forecast::exceeds(const newcomer &request, core::duration limit,
                            core::time_point now) const
{
    if (request.ahead == 0 || expectedWait(request, now) <= limit)
        return false;
    return std::none_of(
        m_priorities.upper_bound(request.priority), m_priorities.end(),
        [now](const auto &each) { return now - each.second.grantedAt < recentGrant; });
}

bool wait_forecast::mustRefuse(const newcomer &request, core::duration limit, core::time_point now)
{
    if (!exceeds(request, limit, now))
        return false;
    priority_state *state = advanced(request.priority, now);
    if (state == nullptr || now - state->probedAt < probeInterval)
        return true;
    state->probedAt = now;
    return false;
}

} // namespace comfreypass::dispatch
