#pragma once

#include "core/name.h"
#include "scheduling/ramp_state.h"
#include "scheduling/running_dispatch.h"

#include <cstdint>
#include <vector>

namespace comfreypass::scheduling {

/** Reply of a node to a poll. */
struct lease_vote
{
    core::upstream_name upstream;
    /** Sequence of the poll. */
    std::uint64_t sequence = 0;
    /** True if the voter grants its vote for the lease time of the poll. */
    bool granted = false;
    /** In a refusal: the node that holds the voter's lease, or that the voter prefers. */
    core::node_name preferred;
    /** All dispatches that the voter runs, or may still start, on the upstream. */
    std::vector<running_dispatch> running;
    std::vector<ramp_state> ramps;

    bool operator==(const lease_vote &) const = default;
};

} // namespace comfreypass::scheduling
