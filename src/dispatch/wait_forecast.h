#pragma once

#include "core/time_point.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace comfreypass::dispatch {

/**
 * Forecasts how long a new request of an upstream would be queued at this node.
 *
 * A request waits for those ahead of it and for the more urgent ones that arrive meanwhile. So the
 * requests ahead are divided by the rate at which slots are granted here less the rate at which
 * more urgent requests are admitted. Both are smoothed over 2 s. Not thread-safe.
 */
class wait_forecast
{
public:
    /** A new request; `ahead` counts the queued ones that it may not overtake. */
    struct newcomer
    {
        std::uint32_t priority = 0;
        std::size_t ahead = 0;
        /** It misses its objective anyway, so those of its priority that do not overtake it. */
        bool isLate = false;
    };

    /**
     * Records that a request was started or queued; `isLate` as of a newcomer. Precondition: `now`
     * does not go back.
     */
    void onAdmitted(std::uint32_t priority, bool isLate, core::time_point now);

    /** Records that a request got a slot, at once or from the queue. */
    void onGranted(std::uint32_t priority, core::time_point now);

    /** Returns the expected wait of a new request, a minute at most. */
    core::duration expectedWait(const newcomer &request, core::time_point now) const;

    /**
     * Returns true if a request is expected to wait for longer than `limit`. Returns false if none
     * is ahead, and while a less urgent request was granted a slot recently.
     */
    bool exceeds(const newcomer &request, core::duration limit, core::time_point now) const;

    /**
     * Returns true if a new request should be refused because its wait exceeds `limit`. Returns
     * false for one request per priority and second, so that the rates stay measured.
     */
    bool mustRefuse(const newcomer &request, core::duration limit, core::time_point now);

private:
    struct priority_state
    {
        /** Smoothed rates per second. */
        double admitted = 0;
        double admittedOnTime = 0;
        double granted = 0;
        core::time_point updatedAt{};
        core::time_point grantedAt{};
        core::time_point probedAt{};
    };

    priority_state *advanced(std::uint32_t priority, core::time_point now);

    std::map<std::uint32_t, priority_state> m_priorities;
};

} // namespace comfreypass::dispatch
