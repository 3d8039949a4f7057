#pragma once

#include "core/ids.h"
#include "core/name.h"
#include "core/time_point.h"
#include "scheduling/refusal_reason.h"

namespace comfreypass::scheduling {

/** The scheduler grants no permit for a request and no longer tracks it. */
struct permit_refusal
{
    core::request_id request = 0;
    core::upstream_name upstream;
    refusal_reason reason = refusal_reason::Capacity;
    /** Time after which a retry may succeed; zero if there is no estimate. */
    core::duration retryAfter{};

    bool operator==(const permit_refusal &) const = default;
};

} // namespace comfreypass::scheduling
