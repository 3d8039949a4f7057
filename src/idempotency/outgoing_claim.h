#pragma once

#include "core/name.h"
#include "idempotency/claim.h"

namespace comfreypass::idempotency {

/** A claim to be sent. The receiver may be the sending node if that is a witness of the key. */
struct outgoing_claim
{
    core::node_name to;
    claim message;

    bool operator==(const outgoing_claim &) const = default;
};

} // namespace comfreypass::idempotency
