#pragma once

#include "policy/sample_request.h"
#include "sheet/generation_spec.h"

#include <cstddef>
#include <cstdint>
#include <vector>

/**
 * The requests and engines of one deployment: 12 engines of 4 generations, 5 teams, 5 tiers, and
 * four kinds of requests whose sizes differ by up to a hundred times.
 */
class workload
{
public:
    /** Arrival rate as a multiple of the pool's capacity, from this time on. */
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
     * Requests a second that all engines together finish if each request has the mean size: the
     * lower of the prefill rate and the slots, summed over the engines.
     */
    static double capacity();
    /** Poisson arrivals until `end`; equal arguments give equal requests. */
    static std::vector<sample_request> make(const std::vector<phase> &phases,
                                            comfreypass::core::time_point end, std::uint64_t seed);
    /**
     * Share of the requests that arrive in [begin, end) which the pool can finish at most. Work is
     * taken as divisible between engines, and the smallest requests come first.
     */
    static double bound(const std::vector<sample_request> &requests,
                        comfreypass::core::time_point begin, comfreypass::core::time_point end);
};
