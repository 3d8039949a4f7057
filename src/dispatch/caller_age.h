#pragma once

#include "core/time_point.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace comfreypass::dispatch {

/**
 * Estimates how long callers have been waiting since their first attempt.
 *
 * Callers state their remaining time, which is the full timeout of their kind at the first attempt.
 * Less than the longest recently stated on the route means that the caller has spent the
 * difference. A caller that understates its remaining time harms only itself; one that overstates
 * it counts with the timeout of the route at most. Not thread-safe.
 */
class caller_age
{
public:
    /**
     * Records a request and returns the time that its caller has spent before it; zero for a first
     * attempt. Preconditions: `now` does not go back; `timeout`, the stated remaining time, and
     * `routeTimeout` are not negative.
     */
    core::duration onRequest(std::string_view route, core::duration timeout,
                             core::duration routeTimeout, core::time_point now);

private:
    /** Longest stated timeouts of the current window and the one before. */
    struct route_state
    {
        core::time_point windowStartedAt{};
        core::duration longest{};
        core::duration longestBefore{};
        core::time_point usedAt{};
    };

    route_state *stateOf(std::string_view route, core::time_point now);

    std::map<std::string, route_state, std::less<>> m_routes;
};

} // namespace comfreypass::dispatch
