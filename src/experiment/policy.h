#pragma once

#include "experiment/experiment_plan.h"
#include "experiment/placement.h"

#include <memory>
#include <span>
#include <string_view>

namespace comfreypass::experiment {

/** A way of placing requests that a run can use. */
struct policy
{
    std::string_view name;
    std::string_view description;
    std::unique_ptr<placement> (*create)(const experiment_plan &plan, placement_host &host);
};

/** All policies, the shipped one first. Thread-safe. */
std::span<const policy> policies();

} // namespace comfreypass::experiment
