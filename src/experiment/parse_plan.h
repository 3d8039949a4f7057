#pragma once

#include "experiment/experiment_plan.h"
#include "sheet/validated.h"

#include <cstddef>
#include <string_view>

namespace comfreypass::experiment {

constexpr std::size_t maxPlanBytes = 262'144;

/** Parses a plan, which is JSON with comments. Errors name their location. Thread-safe. */
sheet::validated<experiment_plan> parsePlan(std::string_view text);

} // namespace comfreypass::experiment
