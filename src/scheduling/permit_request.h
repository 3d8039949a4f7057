#pragma once

#include "core/ids.h"
#include "core/name.h"
#include "core/tier.h"
#include "core/time_point.h"
#include "scheduling/request_cost.h"

#include <cstdint>
#include <vector>

namespace comfreypass::scheduling {

/** Request of an entry node to the scheduler of an upstream for a permit for one dispatch. */
struct permit_request
{
    core::request_id request = 0;
    core::upstream_name upstream;
    core::model_name model;
    core::tier tier = core::lowestTier;
    core::team_name team;
    request_cost cost;
    /** Hashes of growing prompt prefixes, shortest first; used for prefix affinity only. */
    std::vector<std::uint64_t> prefixHashes;
    /** In the clock of the process that holds the object. */
    core::time_point deadline;
    /** False for operations that must not be cancelled once dispatched. */
    bool preemptible = true;

    bool operator==(const permit_request &) const = default;
};

} // namespace comfreypass::scheduling
