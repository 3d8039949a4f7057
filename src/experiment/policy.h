#pragma once

#include "experiment/experiment_plan.h"
#include "experiment/placement.h"

#include <memory>
#include <span>
#include <string_view>

namespace comfreypass::experiment {

/** A placement policy that can be selected for a run. */
struct policy
{
    std::string_view name;
    std::string_view description;
    std::unique_ptr<placement> (*create)(const experiment_plan &plan, placement_host &host);
};

/** Returns all policies, the shipped one first. Thread-safe. */
std::span<const policy> policies();

} // namespace comfreypass::experiment
