#pragma once

#include "core/name.h"
#include "scheduling/ramp_state.h"
#include "scheduling/running_dispatch.h"

#include <cstdint>
#include <vector>

namespace comfreypass::scheduling {

/** A node's answer to a poll. */
struct lease_vote
{
    core::upstream_name upstream;
    /** Sequence of the poll that is answered. */
    std::uint64_t sequence = 0;
    /** True if the voter promises its share for the lease time of the poll. */
    bool promised = false;
    /** With a refusal: the node that the voter holds or wants as scheduler. */
    core::node_name preferred;
    /** Everything that the voter runs, or may still dispatch, on the upstream. */
    std::vector<running_dispatch> running;
    std::vector<ramp_state> ramps;

    bool operator==(const lease_vote &) const = default;
};

} // namespace comfreypass::scheduling
