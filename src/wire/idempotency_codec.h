#pragma once

#include "core/time_point.h"
#include "idempotency/claim.h"
#include "idempotency/claim_reply.h"
#include "peer.pb.h"
#include "wire/field_check.h"

/** Converts claim messages to and from protobuf. All functions are thread-safe. */
namespace comfreypass::wire {

void write(const idempotency::claim &message, pb::envelope &out, core::time_point now);
void write(const idempotency::claim_reply &message, pb::envelope &out, core::time_point now);

idempotency::claim read(const pb::claim &in, field_check &check, core::time_point now);
idempotency::claim_reply read(const pb::claim_reply &in, field_check &check, core::time_point now);

} // namespace comfreypass::wire
