#pragma once

#include "core/time_point.h"
#include "transport/http_server_settings.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace comfreypass::standin {

/** Settings of a model_engine. */
struct model_engine_settings
{
    transport::http_server_settings http;
    /** Maximum number of running requests; others wait in order of arrival. */
    std::uint32_t slots = 16;
    /** Total rate of all requests in prefill. */
    double prefillTokensPerSecond = 8'000;
    /** Duration of a step, which generates one token for each running request. */
    core::duration stepTime = std::chrono::milliseconds(20);
    /** Speed of the hardware generation: 2 halves the step time and doubles the prefill rate. */
    double speed = 1;
    /** Prompt tokens in one block of the prefix cache. */
    std::uint32_t prefixBlockTokens = 64;
    /** Capacity of the prefix cache; the least recently used blocks are evicted first. */
    std::size_t prefixCacheBlocks = 4'096;
    bool startCold = false;
    /** Number of completed responses after which a cold engine is warm. */
    std::uint32_t warmAfterResponses = 8;
    /** Factor on the step time of a cold engine. */
    double coldLatencyFactor = 3;
    /** A cold engine with more running and waiting requests than this collapses. */
    std::uint32_t coldRequestLimit = 2;
    /** Additional factor on the step time of a collapsed engine. */
    double collapseLatencyFactor = 10;
    /** Minimum age of the state that GET /load returns. */
    core::duration loadReportLag = std::chrono::milliseconds(500);
    /** Maximum number of streams that POST /v1/resume can continue; the oldest is dropped first. */
    std::size_t maxResumableStreams = 256;
};

} // namespace comfreypass::standin
