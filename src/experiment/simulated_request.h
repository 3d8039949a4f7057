#pragma once

#include "core/ids.h"
#include "core/time_point.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace comfreypass::experiment {

/** A request of a simulation run. */
struct simulated_request
{
    core::request_id id = 0;
    /** Index into the plan's requests. */
    std::size_t profile = 0;
    std::size_t node = 0;
    core::time_point arrivedAt{};
    double promptTokens = 0;
    std::uint32_t events = 1;
    /** Engines that the request has tried unsuccessfully. */
    std::vector<std::size_t> triedEngines = {};
    /** Attempts that may have run. */
    std::uint32_t runs = 0;
};

} // namespace comfreypass::experiment
