#pragma once

#include "experiment/experiment_plan.h"
#include "experiment/policy.h"
#include "experiment/run_result.h"

#include <span>
#include <string>
#include <vector>

namespace comfreypass::experiment {

/** Simulates a plan with one policy and load. Deterministic for equal arguments. Thread-safe. */
run_result simulate(const experiment_plan &plan, const policy &selectedPolicy, double load);

/**
 * Simulates each load of the plan with each policy in `names`, or with all policies if `names` is
 * empty. Thread-safe.
 */
std::vector<run_result> simulateAll(const experiment_plan &plan,
                                    std::span<const std::string> names);

} // namespace comfreypass::experiment
