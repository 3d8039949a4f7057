#pragma once

#include "core/name.h"
#include "idempotency/claim.h"
#include "idempotency/claim_reply.h"
#include "membership/ack.h"
#include "membership/ping.h"
#include "membership/sheet_chunk.h"
#include "membership/sheet_patch.h"
#include "membership/sheet_request.h"
#include "membership/view_sync.h"
#include "scheduling/lease_poll.h"
#include "scheduling/lease_vote.h"
#include "scheduling/permit_grant.h"
#include "scheduling/permit_refusal.h"
#include "scheduling/permit_release.h"
#include "scheduling/permit_request.h"
#include "scheduling/preempt_order.h"
#include "scheduling/step_down.h"

#include <variant>

namespace comfreypass::wire {

/** Any message between two nodes. */
using peer_message
    = std::variant<membership::ping, membership::ack, membership::view_sync,
                   membership::sheet_request, membership::sheet_patch, membership::sheet_chunk,
                   scheduling::lease_poll, scheduling::lease_vote, scheduling::step_down,
                   scheduling::permit_request, scheduling::permit_grant, scheduling::permit_refusal,
                   scheduling::permit_release, scheduling::preempt_order, idempotency::claim,
                   idempotency::claim_reply>;

} // namespace comfreypass::wire
