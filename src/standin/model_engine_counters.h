#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace comfreypass::standin {

/** Counters of a model_engine since its construction; a restart does not reset them. */
struct model_engine_counters
{
    /** Number of requests for each X-Request-Id. */
    std::map<std::string, std::uint32_t> requestIds;
    /** Chat completion requests, with or without an id. */
    std::uint64_t received = 0;
    std::uint64_t completed = 0;
    /** Requests whose caller closed the connection. */
    std::uint64_t cancelled = 0;
    /** Requests ended by an injected failure or a restart. */
    std::uint64_t failed = 0;
    std::uint64_t resumed = 0;
    std::uint64_t prefilledTokens = 0;
    /** Prompt tokens found in the prefix cache. */
    std::uint64_t cachedTokens = 0;
    /** Prefilled tokens of requests that did not complete. */
    std::uint64_t wastedPrefillTokens = 0;
    std::uint64_t generatedTokens = 0;
    /** Maximum number of running and waiting requests. */
    std::uint32_t maxOpenRequests = 0;
    /** Maximum number of running and waiting requests while cold. */
    std::uint32_t maxOpenRequestsWhileCold = 0;
    /** Number of times that a cold engine exceeded its request limit. */
    std::uint64_t collapses = 0;
};

} // namespace comfreypass::standin
