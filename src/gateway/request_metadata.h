#pragma once

#include "core/time_point.h"

#include <cstdint>
#include <optional>
#include <string>

namespace comfreypass::gateway {

/** What the gateway needs to know of a caller's request, however its headers are spelled. */
struct request_metadata
{
    /** Names one attempt of a caller; engines repeat it in their answers. */
    std::string attemptId;
    std::string host;
    /** Key of a team; empty if there is none. */
    std::string key;
    /** Time that the caller waits. */
    std::optional<core::duration> timeout;
    /** Prompt and output tokens. */
    std::optional<double> tokens;
    /** Prompt tokens alone. */
    std::optional<double> promptTokens;
    /** Output tokens that the caller expects; often far off. */
    std::optional<double> expectedOutputTokens;
    /** The stream goes on after this event. */
    std::optional<std::string> resumeAfter;
};

} // namespace comfreypass::gateway
