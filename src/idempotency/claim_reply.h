#pragma once

#include "core/incarnation.h"

#include <cstdint>

namespace comfreypass::idempotency {

enum class claim_result : std::uint8_t { Accepted, OwnedByOther, Refused };

/** Reply of a witness to a claim. */
struct claim_reply
{
    std::uint64_t sequence = 0;
    claim_result result = claim_result::Refused;
    /** The recorded owner; empty with Refused. */
    core::node_identity owner;

    bool operator==(const claim_reply &) const = default;
};

} // namespace comfreypass::idempotency
