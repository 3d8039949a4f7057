#pragma once

#include "core/name.h"

#include <cstdint>

namespace comfreypass::core {

/** Random number drawn when a process starts. */
using incarnation = std::uint64_t;

/** One life of one node: a restart keeps the name and changes the incarnation. */
struct node_identity
{
    node_name name;
    core::incarnation incarnation = 0;

    auto operator<=>(const node_identity &) const = default;
};

} // namespace comfreypass::core
