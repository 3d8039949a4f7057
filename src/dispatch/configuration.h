#pragma once

#include "core/time_point.h"
#include "dispatch/route.h"
#include "dispatch/team.h"
#include "dispatch/upstream_settings.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace comfreypass::dispatch {

/** Limits on the size and duration of caller requests. */
struct caller_limits
{
    std::size_t headerBytes = 16'384;
    std::size_t bodyBytes = 4'194'304;
    core::duration headerTimeout = std::chrono::seconds(3);
    core::duration idleTimeout = std::chrono::seconds(15);

    bool operator==(const caller_limits &) const = default;
};

/** One version of the operator configuration. */
struct configuration
{
    /** Increases with each change. */
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<upstream_settings> upstreams;
    /** If empty, no request needs a key. */
    std::vector<team> teams;
    caller_limits limits;
};

} // namespace comfreypass::dispatch
