#pragma once

#include <chrono>
#include <cstdint>

namespace comfreypass::sheet {

/** Fleet-wide policy values of the sheet. */
struct policy_spec
{
    enum class unconfirmed_action : std::uint8_t { Refuse, Serve };

    /** Behaviour of a node that cannot confirm that its sheet is the latest revision. */
    unconfirmed_action unconfirmedAction = unconfirmed_action::Refuse;
    /** Requests with a lower estimated cost count as small and have dedicated slots. */
    std::uint32_t smallRequestTokens = 600;
    /** Deadline of a request that does not specify one. */
    std::chrono::milliseconds defaultDeadline{30'000};
    /** Target time to first token; not used by any library yet. */
    std::chrono::milliseconds firstTokenTarget{1'600};
    /** Target interval between two tokens; not used by any library yet. */
    std::chrono::milliseconds tokenGapTarget{29};
};

} // namespace comfreypass::sheet
