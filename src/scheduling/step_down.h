#pragma once

#include "core/name.h"

namespace comfreypass::scheduling {

/** A scheduler releases all its votes for an upstream and grants no more permits. */
struct step_down
{
    core::upstream_name upstream;

    bool operator==(const step_down &) const = default;
};

} // namespace comfreypass::scheduling
