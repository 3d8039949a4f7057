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
    /** Requests that run at once; the others wait in order of arrival. */
    std::uint32_t slots = 16;
    /** Shared by the requests that are in prefill. */
    double prefillTokensPerSecond = 8'000;
    /** Time of one step: each running stream gets one token. */
    core::duration stepTime = std::chrono::milliseconds(20);
    /** Speed of the hardware generation: 2 halves the step time and doubles the prefill rate. */
    double speed = 1;
    /** Prompt tokens in one block of the prefix cache. */
    std::uint32_t prefixBlockTokens = 64;
    /** Bound on the prefix cache; the least recently used blocks go first. */
    std::size_t prefixCacheBlocks = 4'096;
    bool startCold = false;
    /** Completed answers after which a cold engine is warm. */
    std::uint32_t warmAfterResponses = 8;
    /** How many times slower a cold engine is. */
    double coldLatencyFactor = 3;
    /** A cold engine with more running and waiting requests than this collapses. */
    std::uint32_t coldRequestLimit = 2;
    /** How many times slower a collapsed engine is than a cold one. */
    double collapseLatencyFactor = 10;
    /** Age of the state that GET /load reports. */
    core::duration loadReportLag = std::chrono::milliseconds(500);
    /** Streams that POST /v1/resume can go on with; the oldest is forgotten first. */
    std::size_t maxResumableStreams = 256;
};

} // namespace comfreypass::standin
