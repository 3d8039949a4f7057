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

double percentile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const auto rank
        = static_cast<std::size_t>(std::ceil(share * static_cast<double>(values.size())));
    return values[std::clamp<std::size_t>(rank, 1, values.size()) - 1];
}

double percent(std::uint64_t part, std::uint64_t whole)
{
    constexpr double hundred = 100;
    return whole == 0 ? 0 : hundred * static_cast<double>(part) / static_cast<double>(whole);
}

} // namespace

void demo_report::add(const member_answer &answer)
{
    m_answers.push_back(answer);
    tier_figures &figures = m_tiers.at(answer.request.tier);
    ++figures.requests;
    if (answer.result == member_answer::outcome::Answered) {
        figures.firstTokenMs.push_back(milliseconds(answer.firstToken));
        if (answer.whole && answer.inTime)
            ++figures.onTime;
    } else {
        ++m_reasons[answer.reason.empty() ? "no answer" : answer.reason];
    }
}

void demo_report::setPrefill(std::uint64_t total, std::uint64_t wasted)
{
    m_prefillTokens = total;
    m_wastedPrefillTokens = wasted;
}

bool demo_report::allHeld() const
{
    return std::all_of(m_verdicts.begin(), m_verdicts.end(),
                       [](const verdict &value) { return value.held; });
}

void demo_report::print(std::ostream &output) const
{
    const auto count = [&](member_answer::outcome wanted) {
        return std::count_if(m_answers.begin(), m_answers.end(),
                             [&](const member_answer &answer) { return answer.result == wanted; });
    };
    output << std::fixed << std::setprecision(1);
    output << "requests " << m_answers.size() << ", answered "
           << count(member_answer::outcome::Answered) << ", refused \"not run\" "
           << count(member_answer::outcome::NotRun) << ", unknown "
           << count(member_answer::outcome::Unknown) << '\n';
    for (const auto &[reason, number] : m_reasons)
        output << "  not answered: " << reason << " " << number << '\n';
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
    for (const verdict &value : m_verdicts)
        output << (value.held ? "held    " : "BROKEN  ") << value.invariant << " (" << value.detail
               << ")\n";
}

} // namespace comfreypass::demo
