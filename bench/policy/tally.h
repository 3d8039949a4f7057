#pragma once

#include "core/tier.h"
#include "policy/policy_run.h"
#include "policy/sample_request.h"

#include <array>
#include <cstddef>
#include <vector>

/** Counts what became of the requests that arrived in a span of time. */
class tally
{
public:
    using time_point = comfreypass::core::time_point;

    void add(const std::vector<sample_request> &requests,
             const std::vector<policy_run::request_result> &results, time_point begin,
             time_point end);

    /** Shares of requests answered on time. */
    double onTime() const;
    double onTime(comfreypass::core::tier tier) const;
    /** As `onTime`, of the tiers 0 to `tier` together. */
    double onTimeDownTo(comfreypass::core::tier tier) const;
    /** Prompt tokens computed for requests without an answer on time, over all computed ones. */
    double wasted() const;
    /** The part of `wasted` that requests with this outcome account for. */
    double wasted(policy_run::outcome result) const;
    std::size_t requests() const;
    std::size_t count(policy_run::outcome result) const
    {
        return m_outcomes.at(static_cast<std::size_t>(result));
    }

private:
    std::array<std::size_t, comfreypass::core::tierCount> m_requests{};
    std::array<std::size_t, comfreypass::core::tierCount> m_onTime{};
    std::array<std::size_t, 6> m_outcomes{};
    double m_prefill = 0;
    std::array<double, 6> m_wasted{};
};
