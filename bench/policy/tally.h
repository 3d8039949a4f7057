#pragma once

#include "core/tier.h"
#include "policy/policy_run.h"
#include "policy/sample_request.h"

#include <array>
#include <cstddef>
#include <vector>

/** Counts the results of the requests that arrived in a time interval. */
class tally
{
public:
    using time_point = comfreypass::core::time_point;

    void add(const std::vector<sample_request> &requests,
             const std::vector<policy_run::request_result> &results, time_point begin,
             time_point end);

    /** Returns the fraction of requests completed on time. */
    double onTime() const;
    double onTime(comfreypass::core::tier tier) const;
    /** Like onTime(), for the tiers 0 to `tier` together. */
    double onTimeDownTo(comfreypass::core::tier tier) const;
    /** Returns the fraction of processed prompt tokens that belong to requests not completed on
     * time. */
    double wasted() const;
    /** Returns the share of wasted() that requests with this outcome cause. */
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
