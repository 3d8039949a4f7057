#pragma once

#include <chrono>
#include <cstdint>

namespace comfreypass::sheet {

/** Fleet-wide policy values of the sheet. */
struct policy_spec
{
    enum class unconfirmed_action : std::uint8_t { Refuse, Serve };

    /** What a node does that cannot confirm that its sheet is the newest. */
    unconfirmed_action whenUnconfirmed = unconfirmed_action::Refuse;
    /** Requests with a lower estimated cost are small and have slots of their own. */
    std::uint32_t smallRequestTokens = 600;
    /** Deadline of a request that names none. */
    std::chrono::milliseconds defaultDeadline{30'000};
    /** First-token target; read by no library yet. */
    std::chrono::milliseconds firstTokenTarget{1'600};
    /** Target between two tokens; read by no library yet. */
    std::chrono::milliseconds tokenGapTarget{29};
};

} // namespace comfreypass::sheet
