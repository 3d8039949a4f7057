#pragma once

#include "core/ids.h"
#include "core/name.h"

namespace comfreypass::scheduling {

/** Order to an entry node to cancel a running dispatch in favour of a higher tier. */
struct preempt_order
{
    core::request_id request = 0;
    core::permit_id permit = 0;
    core::upstream_name upstream;

    bool operator==(const preempt_order &) const = default;
};

} // namespace comfreypass::scheduling
