#pragma once

#include "core/incarnation.h"

#include <cstdint>

namespace comfreypass::idempotency {

/** A witness in a token. A claim is valid only at this incarnation and for this epoch. */
struct witness_ref
{
    core::node_identity node;
    std::uint64_t epoch = 0;

    bool operator==(const witness_ref &) const = default;
};

} // namespace comfreypass::idempotency
