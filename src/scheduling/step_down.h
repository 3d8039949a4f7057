#pragma once

#include "core/name.h"

namespace comfreypass::scheduling {

/** A scheduler gives all its votes for an upstream back and grants nothing more. */
struct step_down
{
    core::upstream_name upstream;

    bool operator==(const step_down &) const = default;
};

} // namespace comfreypass::scheduling
