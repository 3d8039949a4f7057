#include "policy/tally.h"

#include <numeric>

using namespace comfreypass;

namespace {

double ratio(double part, double whole)
{
    return whole > 0 ? part / whole : 0;
}

} // namespace

void tally::add(const std::vector<sample_request> &requests,
                const std::vector<policy_run::request_result> &results, time_point begin,
                time_point end)
{
    for (std::size_t i = 0; i < requests.size(); ++i) {
        if (requests[i].arrival < begin || requests[i].arrival >= end)
            continue;
        const policy_run::request_result &each = results.at(i);
        const bool good = each.result == policy_run::outcome::OnTime;
        ++m_requests.at(requests[i].tier);
        m_onTime.at(requests[i].tier) += good ? 1 : 0;
        ++m_outcomes.at(static_cast<std::size_t>(each.result));
        m_prefill += each.prefillTokens;
        m_wasted.at(static_cast<std::size_t>(each.result)) += good ? 0 : each.prefillTokens;
    }
}

double tally::onTime() const
{
    return onTimeDownTo(core::lowestTier);
}

double tally::onTime(core::tier tier) const
{
    return ratio(static_cast<double>(m_onTime.at(tier)), static_cast<double>(m_requests.at(tier)));
}

double tally::onTimeDownTo(core::tier tier) const
{
    const auto sum = [&](const auto &counts) {
        return static_cast<double>(
            std::accumulate(counts.begin(), counts.begin() + tier + 1, std::size_t{0}));
    };
    return ratio(sum(m_onTime), sum(m_requests));
}

double tally::wasted() const
{
    return ratio(std::accumulate(m_wasted.begin(), m_wasted.end(), 0.0), m_prefill);
}

double tally::wasted(policy_run::outcome result) const
{
    return ratio(m_wasted.at(static_cast<std::size_t>(result)), m_prefill);
}

std::size_t tally::requests() const
{
    return std::accumulate(m_requests.begin(), m_requests.end(), std::size_t{0});
}
