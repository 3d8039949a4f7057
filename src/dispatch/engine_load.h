#pragma once

#include <cstdint>

namespace comfreypass::dispatch {

/** Compact engine id in messages between nodes; the same on all nodes. */
using engine_key = std::uint32_t;

/** Number of requests that one node runs at one engine. */
struct engine_load
{
    engine_key engine = 0;
    std::uint32_t running = 0;
    /** Prompt tokens of those of them that have had no first event yet; 0 if not reported. */
    std::uint32_t pendingPromptTokens = 0;
};

} // namespace comfreypass::dispatch
