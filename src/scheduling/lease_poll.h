#pragma once

#include "core/name.h"
#include "core/time_point.h"
#include "scheduling/ramp_state.h"

#include <cstdint>
#include <vector>

namespace comfreypass::scheduling {

/** Request of a scheduler to a node to grant its vote for one lease time. */
struct lease_poll
{
    core::upstream_name upstream;
    std::uint64_t sequence = 0;
    core::duration lease{};
    /** Current ramp states of the scheduler, which the voter stores for the next scheduler. */
    std::vector<ramp_state> ramps;

    bool operator==(const lease_poll &) const = default;
};

} // namespace comfreypass::scheduling
