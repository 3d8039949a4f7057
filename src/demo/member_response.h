#pragma once

#include "core/time_point.h"
#include "demo/workload.h"

#include <cstdint>
#include <string>

namespace comfreypass::demo {

/** Outcome of a request as seen by a simulated member. */
struct member_response
{
    enum class outcome : std::uint8_t { Completed, NotRun, Unknown };

    member_request request;
    std::string key;
    outcome result = outcome::Unknown;
    /** Reason of a rejection or of a stream that the node ended early. */
    std::string reason;
    /** Whether the response is complete and belongs to this request. */
    bool isCorrect = false;
    bool inTime = false;
    /** Connections that broke or were refused without a response from the node. */
    std::uint32_t brokenConnections = 0;
    core::duration firstToken{};
    core::duration total{};
};

} // namespace comfreypass::demo
