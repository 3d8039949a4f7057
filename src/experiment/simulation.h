#pragma once

#include "experiment/experiment_plan.h"
#include "experiment/policy.h"
#include "experiment/run_result.h"

#include <span>
#include <string>
#include <vector>

namespace comfreypass::experiment {

/** Plays a plan with one policy at one load. Equal arguments give equal results. Thread-safe. */
run_result simulate(const experiment_plan &plan, const policy &selectedPolicy, double load);

/** Plays each load of the plan with each policy whose name is in `names`, or with all if that is
 * empty. Thread-safe. */
std::vector<run_result> simulateAll(const experiment_plan &plan,
                                    std::span<const std::string> names);

} // namespace comfreypass::experiment
