#pragma once

#include "core/time_point.h"

#include <functional>
#include <string_view>

namespace comfreypass::node {

/** Whether this node as a whole may send requests to upstreams. */
struct dispatch_permission
{
    bool allowed = false;
    /** Stable keyword for the reason if not allowed. */
    std::string_view reason;
};

/** Called at the start of a request and again directly before its first byte is written. */
using dispatch_gate = std::function<dispatch_permission(core::time_point now)>;

} // namespace comfreypass::node
