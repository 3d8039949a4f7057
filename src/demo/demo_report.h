#pragma once

#include "core/tier.h"
#include "demo/member_answer.h"

#include <array>
#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <vector>

namespace comfreypass::demo {

/** Figures and verdicts of one demonstration. */
class demo_report
{
public:
    /** One line of "what must always hold". */
    struct verdict
    {
        std::string invariant;
        bool held = true;
        /** What was counted. */
        std::string detail;
    };

    void add(const member_answer &answer);
    void add(verdict value) { m_verdicts.push_back(std::move(value)); }
    void setPrefill(std::uint64_t total, std::uint64_t wasted);

    const std::vector<member_answer> &answers() const noexcept { return m_answers; }
    bool allHeld() const;
    void print(std::ostream &output) const;

private:
    struct tier_figures
    {
        std::uint64_t requests = 0;
        std::uint64_t onTime = 0;
        std::vector<double> firstTokenMs;
    };

    std::vector<member_answer> m_answers;
    std::array<tier_figures, core::tierCount> m_tiers;
    std::map<std::string, std::uint64_t> m_reasons;
    std::uint64_t m_prefillTokens = 0;
    std::uint64_t m_wastedPrefillTokens = 0;
    std::vector<verdict> m_verdicts;
};

} // namespace comfreypass::demo
