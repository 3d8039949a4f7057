#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <string_view>
#include <vector>

/** Baseline policies that ignore tiers and dispatch each request on arrival. Not thread-safe. */
class baseline
{
public:
    enum class rule : std::uint8_t { Random, RoundRobin, LeastReported, TwoChoices };

    /** Load of one engine as known to the entry node. */
    struct view
    {
        bool inService = true;
        /** Requests at the engine according to its last report, which is outdated. */
        std::size_t reported = 0;
        /** Requests dispatched by the entry node that have not ended. */
        std::size_t inFlight = 0;
    };

    baseline(rule which, std::uint64_t seed) : m_rule(which), m_random(seed) { }

    /** Returns the index of the selected engine. Precondition: an engine is in service. */
    std::size_t choose(const std::vector<view> &engines);

    static std::string_view toString(rule which);

private:
    rule m_rule;
    std::mt19937_64 m_random;
    std::size_t m_turn = 0;
};
