#pragma once

#include "core/tier.h"
#include "demo/member_response.h"

#include <array>
#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <vector>

namespace comfreypass::demo {

/** Statistics and invariant checks of a demonstration. */
class demo_report
{
public:
    /** Result of the check of one invariant. */
    struct invariant_result
    {
        std::string invariant;
        bool held = true;
        /** The counts behind the result. */
        std::string detail;
    };

    void add(const member_response &response);
    void add(invariant_result value) { m_invariants.push_back(std::move(value)); }
    void setPrefillTokens(std::uint64_t total, std::uint64_t wasted);

    const std::vector<member_response> &responses() const noexcept { return m_responses; }
    bool allInvariantsHold() const;
    void print(std::ostream &output) const;

private:
    struct tier_figures
    {
        std::uint64_t requests = 0;
        std::uint64_t onTime = 0;
        std::vector<double> firstTokenMs;
    };

    std::vector<member_response> m_responses;
    std::array<tier_figures, core::tierCount> m_tiers;
    std::map<std::string, std::uint64_t> m_reasons;
    std::uint64_t m_prefillTokens = 0;
    std::uint64_t m_wastedPrefillTokens = 0;
    std::vector<invariant_result> m_invariants;
};

} // namespace comfreypass::demo
