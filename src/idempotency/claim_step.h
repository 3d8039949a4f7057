#pragma once

#include "idempotency/claim_outcome.h"
#include "idempotency/outgoing_claim.h"

#include <vector>

namespace comfreypass::idempotency {

/** Result of a timer step: messages to send and rounds that have ended. */
struct claim_step
{
    std::vector<outgoing_claim> messages;
    std::vector<claim_outcome> ended;
};

} // namespace comfreypass::idempotency
