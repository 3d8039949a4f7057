#pragma once

#include "idempotency/key_state.h"
#include "idempotency/outgoing_claim.h"

#include <cstdint>
#include <vector>

namespace comfreypass::idempotency {

/** Answer to the wish to claim a key. */
struct claim_start
{
    enum class status : std::uint8_t {
        /** A round runs; its end is reported by onReply() or onTime(). */
        Started,
        /** This node already claims, owns, runs or has run the key; see `known`. */
        Known,
        /** The token names too few witnesses, or the deadline has passed. */
        Impossible,
        /** Too many rounds or keys. */
        Full,
    };

    status result = status::Impossible;
    key_state known = key_state::Free;
    std::vector<outgoing_claim> messages;
};

} // namespace comfreypass::idempotency
