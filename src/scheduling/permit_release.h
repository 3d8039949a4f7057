#pragma once

#include "core/ids.h"
#include "core/name.h"
#include "core/time_point.h"
#include "scheduling/request_cost.h"

#include <cstdint>

namespace comfreypass::scheduling {

enum class dispatch_result : std::uint8_t { Completed, Failed, Cancelled, NotDispatched };

/** The entry node no longer uses a permit. The result updates the engine's ramp and estimate. */
struct permit_release
{
    core::request_id request = 0;
    /** 0 withdraws a request that has no permit yet. */
    core::permit_id permit = 0;
    core::upstream_name upstream;
    dispatch_result result = dispatch_result::Completed;
    /** Tokens that the engine processed. */
    request_cost actual;
    /** From dispatch to the first token; zero if there was none. */
    core::duration firstToken{};
    /** True if the response was complete before the request's deadline. */
    bool inTime = false;

    bool operator==(const permit_release &) const = default;
};

} // namespace comfreypass::scheduling
