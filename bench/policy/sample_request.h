#pragma once

#include "core/tier.h"
#include "core/time_point.h"
#include "scheduling/request_cost.h"

#include <cstddef>

/** One request of the workload. */
struct sample_request
{
    comfreypass::core::time_point arrival{};
    comfreypass::core::time_point deadline{};
    comfreypass::core::tier tier = 0;
    std::size_t team = 0;
    /** Declared by the caller: the actual prompt and the mean response length of its kind. */
    comfreypass::scheduling::request_cost estimate;
    /** Processed by the engine. */
    comfreypass::scheduling::request_cost actual;
};
