#pragma once

#include "core/time_point.h"

#include <cstdint>
#include <map>

namespace comfreypass::dispatch {

/** Number of route priorities within one team priority. */
constexpr std::uint32_t routePrioritiesPerTeamPriority = 16;

/**
 * Lets short requests start before longer ones that are more urgent while they are served less
 * often.
 *
 * In overload, a strict order of priorities leaves nothing to the least urgent requests, although
 * short ones would use little: a slot that serves one long request serves many of them. A priority
 * may therefore overtake a more urgent one of the same teams as long as a much smaller share of its
 * recent requests got a slot and its requests are several times shorter. The most urgent priority
 * of the teams is never overtaken. Not thread-safe.
 */
class service_share
{
public:
    /** Records a new request; `outputTokens` is its expected length, 0 if unknown. */
    void onAsked(std::uint32_t priority, double outputTokens, core::time_point now);

    /** Records that a request got a slot. Precondition: `now` does not go back. */
    void onGranted(std::uint32_t priority, core::time_point now);

    /**
     * Returns the most urgent priority that requests with `priority` may overtake now, or
     * `priority` if there is none. Requests of the result and of `priority` compete as equals.
     */
    std::uint32_t effectivePriority(std::uint32_t priority, core::time_point now) const;

private:
    struct priority_state
    {
        /** Counts that decay with time. */
        double asked = 0;
        double granted = 0;
        core::time_point updatedAt{};
        /** Smoothed; 0 if unknown. */
        double outputTokens = 0;
    };

    priority_state *advanced(std::uint32_t priority, core::time_point now);
    static double shareOf(const priority_state &state);
    static bool isShorter(const priority_state &state, const priority_state &other);
    static bool isRecent(const priority_state &state, core::time_point now);

    std::map<std::uint32_t, priority_state> m_priorities;
};

} // namespace comfreypass::dispatch
