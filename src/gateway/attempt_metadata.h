#pragma once

#include "core/time_point.h"

#include <optional>
#include <string>
#include <string_view>

namespace comfreypass::gateway {

/** Values that the gateway adds to a request for one attempt. */
struct attempt_metadata
{
    /** Time until the deadline, after which the engine stops working on the request. */
    core::duration timeLeft{};
    /** The selected engine; any other engine rejects the request. */
    std::string_view engineId;
    /** Empty if the caller has no team. */
    std::string_view team;
    /** Id of the event after which the stream resumes. */
    std::optional<std::string> resumeAfter;
};

} // namespace comfreypass::gateway
