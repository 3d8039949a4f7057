#include "demo/demo_report.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iomanip>
#include <ostream>
#include <utility>

namespace comfreypass::demo {

namespace {

double milliseconds(core::duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

double percentile(std::vector<double> values, double fraction)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const auto rank
        = static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(values.size())));
    return values[std::clamp<std::size_t>(rank, 1, values.size()) - 1];
}

double percent(std::uint64_t value, std::uint64_t total)
{
    constexpr double hundred = 100;
    return total == 0 ? 0 : hundred * static_cast<double>(value) / static_cast<double>(total);
}

} // namespace

void demo_report::add(const member_response &response)
{
    m_responses.push_back(response);
    tier_figures &figures = m_tiers.at(response.request.tier);
    ++figures.requests;
    if (response.result == member_response::outcome::Completed) {
        figures.firstTokenMs.push_back(milliseconds(response.firstToken));
        if (response.isCorrect && response.inTime)
            ++figures.onTime;
    } else {
        ++m_reasons[response.reason.empty() ? "no response" : response.reason];
    }
}

void demo_report::setPrefillTokens(std::uint64_t total, std::uint64_t wasted)
{
    m_prefillTokens = total;
    m_wastedPrefillTokens = wasted;
}

bool demo_report::allInvariantsHold() const
{
    return std::all_of(m_invariants.begin(), m_invariants.end(),
                       [](const invariant_result &value) { return value.held; });
}

void demo_report::print(std::ostream &output) const
{
    const auto count = [&](member_response::outcome outcome) {
        return std::count_if(
            m_responses.begin(), m_responses.end(),
            [&](const member_response &response) { return response.result == outcome; });
    };
    output << std::fixed << std::setprecision(1);
    output << "requests " << m_responses.size() << ", completed "
           << count(member_response::outcome::Completed) << ", rejected as not run "
           << count(member_response::outcome::NotRun) << ", unknown "
           << count(member_response::outcome::Unknown) << '\n';
    for (const auto &[reason, reasonCount] : m_reasons)
        output << "  not completed: " << reason << " " << reasonCount << '\n';
    output << "wasted prefill " << m_wastedPrefillTokens << " of " << m_prefillTokens << " tokens ("
           << percent(m_wastedPrefillTokens, m_prefillTokens) << "%)\n\n";

    output << "tier  requests  goodput %  first byte p50 ms  p95 ms\n";
    for (std::size_t tier = 0; tier < m_tiers.size(); ++tier) {
        const tier_figures &figures = m_tiers.at(tier);
        if (figures.requests == 0)
            continue;
        constexpr double median = 0.5;
        constexpr double tail = 0.95;
        output << std::setw(4) << tier << std::setw(10) << figures.requests << std::setw(11)
               << percent(figures.onTime, figures.requests) << std::setw(19)
               << percentile(figures.firstTokenMs, median) << std::setw(8)
               << percentile(figures.firstTokenMs, tail) << '\n';
    }
    output << '\n';
    for (const invariant_result &value : m_invariants)
        output << (value.held ? "held    " : "BROKEN  ") << value.invariant << " (" << value.detail
               << ")\n";
}

} // namespace comfreypass::demo
