#pragma once

#include "core/time_point.h"

#include <cstdint>
#include <map>

namespace comfreypass::dispatch {

/**
 * Schedules the return of callers that are refused by an upstream, so that they do not return into
 * the same overload all at once.
 *
 * Callers honour a delay of up to a third of the time that they have left. The share of the recent
 * requests of the priority that was refused determines how much of that range is used.
 * Not thread-safe.
 */
class retry_schedule
{
public:
    /** Records a request, refused or not. Precondition: `now` does not go back. */
    void onAsked(std::uint32_t priority, core::time_point now);

    /** Records that a request was refused. */
    void onRefused(std::uint32_t priority, core::time_point now);

    /** Returns refused / asked in about the last 2 s, from 0 to 1. */
    double pressure(std::uint32_t priority, core::time_point now) const;

    /**
     * Returns the delay after which a caller should retry that is refused now. Without pressure it
     * is `usual`. `timeLeft` is the time that the caller has left, `random` is from 0 to 1.
     */
    core::duration delay(std::uint32_t priority, core::duration usual, core::duration timeLeft,
                         double random, core::time_point now) const;

private:
    struct priority_state
    {
        /** Counts that decay with time. */
        double asked = 0;
        double refused = 0;
        core::time_point updatedAt{};
    };

    priority_state *advanced(std::uint32_t priority, core::time_point now);

    std::map<std::uint32_t, priority_state> m_priorities;
};

} // namespace comfreypass::dispatch
