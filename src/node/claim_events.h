#pragma once

#include "idempotency/claim_outcome.h"

namespace comfreypass::node {

/** Receives the outcome of a claim round. */
class claim_events
{
public:
    claim_events() = default;
    virtual ~claim_events() = default;
    claim_events(const claim_events &) = delete;
    claim_events &operator=(const claim_events &) = delete;

    virtual void onClaimEnded(const idempotency::claim_outcome &outcome) = 0;
};

} // namespace comfreypass::node
