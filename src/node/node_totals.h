#pragma once

#include <cstdint>

namespace comfreypass::node {

/** Request counts of one node since its start, by outcome, and their prefill tokens. */
struct node_totals
{
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t callerDisconnected = 0;
    std::uint64_t prefillTokens = 0;
    std::uint64_t wastedPrefillTokens = 0;
};

} // namespace comfreypass::node
