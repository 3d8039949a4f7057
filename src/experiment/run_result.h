#pragma once

#include "core/time_point.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace comfreypass::experiment {

/** What became of the requests of one profile. */
struct profile_result
{
    std::string name;
    std::uint64_t asked = 0;
    std::uint64_t onTime = 0;
    std::uint64_t late = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    core::duration medianFirst{};
    core::duration p99First{};
};

/** One policy at one load. */
struct run_result
{
    std::string policy;
    double load = 1;
    std::vector<profile_result> profiles;
    /** Worth of the requests that were on time, as a part of all worth asked for. */
    double goodput = 0;
    /** Prompt tokens that were read for requests that were not answered in time, of all read. */
    double wastedPrompt = 0;
    /** Most running and waiting requests of one engine, as a multiple of its slots. */
    double mostCrowded = 0;
};

} // namespace comfreypass::experiment
