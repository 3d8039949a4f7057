#pragma once

#include "core/name.h"
#include "core/tier.h"

#include <vector>

namespace comfreypass::node {

/** Team, tier and candidate upstreams of a request. */
struct route
{
    core::team_name team;
    core::half_name half;
    core::tier tier = core::lowestTier;
    /** Upstreams that the team's half may use for the request, in the order in which they are
     * tried. */
    std::vector<core::upstream_name> upstreams;
    bool idempotent = true;
};

} // namespace comfreypass::node
