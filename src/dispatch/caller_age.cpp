#include "dispatch/caller_age.h"

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace comfreypass::dispatch {

namespace {

using namespace std::chrono_literals;

/**
 * The longest timeout is forgotten after one to two windows, so that a shortened timeout of a kind
 * makes its callers look old for two minutes at most.
 */
constexpr core::duration window = 60s;

/** Configurations have a few dozen routes; beyond this, the route unused for longest is dropped. */
constexpr std::size_t maxRoutes = 256;

} // namespace

caller_age::route_state *caller_age::stateOf(std::string_view route, core::time_point now)
{
    auto found = m_routes.find(route);
    if (found == m_routes.end()) {
        if (m_routes.size() >= maxRoutes)
            m_routes.erase(std::ranges::min_element(
                m_routes, {}, [](const auto &each) { return each.second.usedAt; }));
        found = m_routes.emplace(route, route_state{.windowStartedAt = now}).first;
    }
    return &found->second;
}

core::duration caller_age::onRequest(std::string_view route, core::duration timeout,
                                     core::duration routeTimeout, core::time_point now)
{
    route_state &state = *stateOf(route, now);
    state.usedAt = now;
    if (const core::duration elapsed = now - state.windowStartedAt; elapsed >= window) {
        state.longestBefore = elapsed < 2 * window ? state.longest : core::duration::zero();
        state.longest = core::duration::zero();
        state.windowStartedAt = now;
    }
    const core::duration stated = std::min(timeout, routeTimeout);
    state.longest = std::max(state.longest, stated);
    const core::duration full
        = std::min(std::max(state.longest, state.longestBefore), routeTimeout);
    return full - stated;
}

} // namespace comfreypass::dispatch
