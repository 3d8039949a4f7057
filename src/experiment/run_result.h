#pragma once

#include "core/time_point.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace comfreypass::experiment {

/** Outcomes of the requests of one profile. */
struct profile_result
{
    std::string name;
    std::uint64_t requested = 0;
    std::uint64_t onTime = 0;
    std::uint64_t late = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    core::duration medianFirst{};
    core::duration p99First{};
};

/** Result of one policy at one load. */
struct run_result
{
    std::string policy;
    double load = 1;
    std::vector<profile_result> profiles;
    /** Fraction of the total worth of all requests that belongs to requests on time. */
    double goodput = 0;
    /** Fraction of the prefilled prompt tokens that belongs to requests not on time. */
    double wastedPrompt = 0;
    /** Maximum number of running and queued requests of an engine, relative to its slots. */
    double maxRelativeLoad = 0;
};

} // namespace comfreypass::experiment
