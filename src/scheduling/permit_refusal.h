#pragma once

#include "core/ids.h"
#include "core/name.h"
#include "core/time_point.h"
#include "scheduling/refusal_reason.h"

namespace comfreypass::scheduling {

/** The scheduler gives no permit for a request and has forgotten it. */
struct permit_refusal
{
    core::request_id request = 0;
    core::upstream_name upstream;
    refusal_reason reason = refusal_reason::Capacity;
    /** When a repeat has a chance of success; zero if there is no estimate. */
    core::duration retryAfter{};

    bool operator==(const permit_refusal &) const = default;
};

} // namespace comfreypass::scheduling
