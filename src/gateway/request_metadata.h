#pragma once

#include "core/time_point.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace comfreypass::gateway {

/** Protocol fields of a caller's request, independent of their header names. */
struct request_metadata
{
    /** Identifies one attempt of a caller; engines return it in their responses. */
    std::string attemptId;
    std::string host;
    /** API key of a team; empty if there is none. */
    std::string key;
    /** Time for which the caller waits for the response. */
    std::optional<core::duration> timeout;
    /** Prompt and output tokens. */
    std::optional<double> tokens;
    /** Prompt tokens only. */
    std::optional<double> promptTokens;
    /** The caller's estimate of the output tokens, which is often far off. */
    std::optional<double> expectedOutputTokens;
    /** Id of the event after which the stream resumes. */
    std::optional<std::string> resumeAfter;
    /** Segments of the prompt that other requests may share, from its start. */
    std::vector<std::uint64_t> sharedSegments;
};

} // namespace comfreypass::gateway
