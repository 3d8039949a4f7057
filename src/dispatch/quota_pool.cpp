#include "dispatch/quota_pool.h"

#include <algorithm>
#include <chrono>

namespace comfreypass::dispatch {

namespace {

/**
 * Seconds of refill that all buckets of a fleet hold together when its nodes start. A node cannot
 * know what was admitted before its start, so it does not begin with the burst.
 */
constexpr double startSeconds = 1;

/** Deepest debt in seconds of refill, so that one huge request does not shut a team out. */
constexpr double mostDebtSeconds = 4;

constexpr auto leastRetryAfter = std::chrono::milliseconds(200);
constexpr auto mostRetryAfter = std::chrono::seconds(5);

} // namespace

quota_decision quota_pool::admit(const team &owner, double units, const fleet_share &share,
                                 core::time_point now)
{
    bucket &state = m_buckets[owner.name];
    if (!owner.quota || owner.quota->unitsPerSecond <= 0) {
        return {};
    }
    refill(state, *owner.quota, share, now);
    if (state.level > 0) {
        state.level -= units;
        state.ownTotal += units;
        return {};
    }
    const double rate = owner.quota->unitsPerSecond * share.reachableFraction();
    const auto untilPositive = std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double>(-state.level / rate));
    return {.admitted = false,
            .retryAfter
            = std::clamp<core::duration>(untilPositive, leastRetryAfter, mostRetryAfter)};
}

void quota_pool::refund(const team &owner, double units)
{
    if (!owner.quota || owner.quota->unitsPerSecond <= 0)
        return;
    bucket &state = m_buckets[owner.name];
    state.level += units;
    state.ownTotal = std::max(0.0, state.ownTotal - units);
}

void quota_pool::addPeerUse(std::string_view teamName, double units)
{
    // A bucket that has not been started counts nothing: its refill begins with its first request.
    const auto found = m_buckets.find(std::string(teamName));
    if (found != m_buckets.end() && found->second.started)
        found->second.level -= units;
}

double quota_pool::ownTotal(std::string_view teamName) const
{
    const auto found = m_buckets.find(std::string(teamName));
    return found == m_buckets.end() ? 0 : found->second.ownTotal;
}

void quota_pool::refill(bucket &state, const team_quota &quota, const fleet_share &share,
                        core::time_point now)
{
    const double rate = quota.unitsPerSecond * share.reachableFraction();
    const double most
        = std::max(quota.burstUnits, quota.unitsPerSecond) * share.reachableFraction();
    if (!state.started) {
        state.started = true;
        state.level = rate * startSeconds / static_cast<double>(share.known);
    } else {
        const double seconds = std::chrono::duration<double>(now - state.refilledAt).count();
        state.level += rate * std::max(0.0, seconds);
    }
    state.refilledAt = now;
    state.level = std::clamp(state.level, -mostDebtSeconds * rate, most);
}

} // namespace comfreypass::dispatch
