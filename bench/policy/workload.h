#pragma once

#include "policy/sample_request.h"
#include "sheet/generation_spec.h"

#include <cstddef>
#include <cstdint>
#include <vector>

/**
 * Requests and engines of one deployment: 12 engines of 4 generations, 5 teams, 5 tiers, and 4
 * kinds of requests whose mean sizes differ by a factor of up to 100.
 */
class workload
{
public:
    /** Arrival rate as a multiple of the pool capacity, from `begin` until the next phase. */
    struct phase
    {
        comfreypass::core::time_point begin{};
        double load = 1;
    };

    static constexpr std::size_t engineCount = 12;
    static constexpr std::size_t generationCount = 4;
    static constexpr std::size_t teamCount = 5;

    static std::size_t generationOf(std::size_t engine) { return engine % generationCount; }
    static const comfreypass::sheet::generation_spec &generationSpec(std::size_t generation);
    /**
     * Returns the requests per second that all engines together complete if each request has the
     * mean size: for each engine the lower of the limits by prefill rate and by slots, summed.
     */
    static double capacity();
    /** Returns requests with Poisson arrivals until `end`; deterministic for equal arguments. */
    static std::vector<sample_request> make(const std::vector<phase> &phases,
                                            comfreypass::core::time_point end, std::uint64_t seed);
    /**
     * Returns an upper bound of the fraction of the requests arriving in [begin, end) that the pool
     * can complete. Assumes that work is divisible between engines and runs the smallest requests
     * first.
     */
    static double bound(const std::vector<sample_request> &requests,
                        comfreypass::core::time_point begin, comfreypass::core::time_point end);
};
