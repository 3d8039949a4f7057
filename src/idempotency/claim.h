#pragma once

#include "core/incarnation.h"
#include "idempotency/request_key.h"

#include <cstdint>

namespace comfreypass::idempotency {

/** Request of an entry node to a witness to record the sender as the owner of a key. */
struct claim
{
    std::uint64_t sequence = 0;
    request_key key;
    /** Incarnation and epoch of the witness, as given in the caller's witness token. */
    core::incarnation witnessIncarnation = 0;
    std::uint64_t witnessEpoch = 0;

    bool operator==(const claim &) const = default;
};

} // namespace comfreypass::idempotency
