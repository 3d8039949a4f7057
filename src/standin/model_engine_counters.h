#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace comfreypass::standin {

/** What a model_engine has done since it was made; a restart does not reset it. */
struct model_engine_counters
{
    /** How often each X-Request-Id was received. */
    std::map<std::string, std::uint32_t> requestIds;
    /** Chat completion requests, with or without an id. */
    std::uint64_t received = 0;
    std::uint64_t completed = 0;
    /** Ended because the caller closed the connection. */
    std::uint64_t cancelled = 0;
    /** Ended by an injected failure or a restart. */
    std::uint64_t failed = 0;
    std::uint64_t resumed = 0;
    std::uint64_t prefilledTokens = 0;
    /** Prompt tokens that the prefix cache spared. */
    std::uint64_t cachedTokens = 0;
    /** Prefilled tokens of requests that did not complete. */
    std::uint64_t wastedPrefillTokens = 0;
    std::uint64_t generatedTokens = 0;
    /** Highest number of running and waiting requests. */
    std::uint32_t maxOpenRequests = 0;
    /** The same, counted only while cold. */
    std::uint32_t maxOpenRequestsWhileCold = 0;
    /** Times that a cold engine went over its limit. */
    std::uint64_t collapses = 0;
};

} // namespace comfreypass::standin
