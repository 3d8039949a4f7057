#pragma once

#include "core/name.h"

#include <cstdint>

namespace comfreypass::core {

/** Random number generated when a process starts. */
using incarnation = std::uint64_t;

/** Identifies one run of a node process: a restart keeps the name and changes the incarnation. */
struct node_identity
{
    node_name name;
    core::incarnation incarnation = 0;

    auto operator<=>(const node_identity &) const = default;
};

} // namespace comfreypass::core
