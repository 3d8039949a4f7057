#pragma once

#include "core/ids.h"
#include "core/name.h"
#include "core/tier.h"
#include "core/time_point.h"
#include "scheduling/request_cost.h"

namespace comfreypass::scheduling {

/** A dispatch that an entry node is running, or a permit that it may still use. */
struct running_dispatch
{
    core::request_id request = 0;
    core::permit_id permit = 0;
    core::engine_name engine;
    core::tier tier = core::lowestTier;
    core::team_name team;
    request_cost cost;
    core::time_point deadline;
    bool preemptible = true;

    bool operator==(const running_dispatch &) const = default;
};

} // namespace comfreypass::scheduling
