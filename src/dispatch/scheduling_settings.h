#pragma once

#include "core/time_point.h"

namespace comfreypass::dispatch {

/** Optional scheduling features of a node; each is off by default. */
struct scheduling_settings
{
    /**
     * The nodes coordinate the requests of upstreams that serve a streaming route with at least
     * this objective; zero turns this off. A shorter objective leaves no time to hand a slot over
     * from one node to another.
     */
    core::duration coordinateFromObjective{};
    /**
     * Prompts whose shared segments have at least this many tokens are placed with regard to the
     * prompt caches of the engines; 0 turns this off.
     */
    double promptCacheFromTokens = 0;
};

} // namespace comfreypass::dispatch
