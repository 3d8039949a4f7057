#pragma once

#include "idempotency/key_state.h"
#include "idempotency/outgoing_claim.h"

#include <cstdint>
#include <vector>

namespace comfreypass::idempotency {

/** Result of a request to claim a key. */
struct claim_start
{
    enum class status : std::uint8_t {
        /** A round has started; onReply() or onTime() reports its end. */
        Started,
        /** This node is claiming, owns, is running or has run the key; see `known`. */
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
