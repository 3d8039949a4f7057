#include "dispatch/quota_pool.h"

#include <algorithm>
#include <chrono>

namespace comfreypass::dispatch {

namespace {

/**
 * Initial level of all buckets of a fleet together, in seconds of refill. A node does not know what
 * was admitted before its start, so it does not start with the burst.
 */
constexpr double initialRefillSeconds = 1;

/** Maximum debt in seconds of refill, so that one huge request does not lock a team out. */
constexpr double maxDebtSeconds = 4;

constexpr auto minRetryAfter = std::chrono::milliseconds(200);
constexpr auto maxRetryAfter = std::chrono::seconds(5);

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
            .retryAfter = std::clamp<core::duration>(untilPositive, minRetryAfter, maxRetryAfter)};
}

void quota_pool::refund(const team &owner, double units)
{
    if (!owner.quota || owner.quota->unitsPerSecond <= 0)
        return;
    bucket &state = m_buckets[owner.name];
    state.level += units;
    state.ownTotal = std::max(0.0, state.ownTotal - units);
}

void quota_pool::addPeerUsage(std::string_view teamName, double units)
{
    // An unused bucket is not charged, because its refill begins with its first request.
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
    const double maxLevel
        = std::max(quota.burstUnits, quota.unitsPerSecond) * share.reachableFraction();
    if (!state.started) {
        state.started = true;
        state.level = rate * initialRefillSeconds / static_cast<double>(share.known);
    } else {
        const double seconds = std::chrono::duration<double>(now - state.refilledAt).count();
        state.level += rate * std::max(0.0, seconds);
    }
    state.refilledAt = now;
    state.level = std::clamp(state.level, -maxDebtSeconds * rate, maxLevel);
}

} // namespace comfreypass::dispatch
