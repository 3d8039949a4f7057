#pragma once

#include "core/time_point.h"
#include "demo/workload.h"

#include <cstdint>
#include <string>

namespace comfreypass::demo {

/** What a simulated member saw of one request. */
struct member_response
{
    enum class outcome : std::uint8_t { Completed, NotRun, Unknown };

    member_request request;
    std::string key;
    outcome result = outcome::Unknown;
    /** Reason of a refusal. */
    std::string reason;
    /** The answer was complete and belongs to this request. */
    bool isCorrect = false;
    bool inTime = false;
    /** Connections that broke, or were refused, without a word from the node. */
    std::uint32_t brokenConnections = 0;
    core::duration firstToken{};
    core::duration total{};
};

} // namespace comfreypass::demo
