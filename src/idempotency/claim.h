#pragma once

#include "core/incarnation.h"
#include "idempotency/request_key.h"

#include <cstdint>

namespace comfreypass::idempotency {

/** An entry node asks a witness to record that it owns a request; the sender is the owner. */
struct claim
{
    std::uint64_t sequence = 0;
    request_key key;
    /** Incarnation and epoch of the witness as named in the caller's witness token. */
    core::incarnation witnessIncarnation = 0;
    std::uint64_t witnessEpoch = 0;

    bool operator==(const claim &) const = default;
};

} // namespace comfreypass::idempotency
