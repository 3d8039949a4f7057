#pragma once

#include "core/time_point.h"

#include <optional>
#include <string>
#include <string_view>

namespace comfreypass::gateway {

/** What the gateway tells an engine beside the caller's request. */
struct attempt_metadata
{
    /** Time after which the engine stops working on the request. */
    core::duration timeLeft{};
    /** Another engine refuses the request. */
    std::string_view engineId;
    /** Empty if the caller has no team. */
    std::string_view team;
    std::optional<std::string> resumeAfter;
};

} // namespace comfreypass::gateway
