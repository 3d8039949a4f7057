#include "wire/idempotency_codec.h"

namespace comfreypass::wire {

void write(const idempotency::claim &message, pb::envelope &out, core::time_point /*now*/)
{
    pb::claim &body = *out.mutable_claim();
    body.set_sequence(message.sequence);
    body.set_key_high(message.key.high);
    body.set_key_low(message.key.low);
    body.set_witness_incarnation(message.witnessIncarnation);
    body.set_witness_epoch(message.witnessEpoch);
}

void write(const idempotency::claim_reply &message, pb::envelope &out, core::time_point /*now*/)
{
    pb::claim_reply &body = *out.mutable_claim_reply();
    body.set_sequence(message.sequence);
    body.set_verdict(static_cast<std::uint32_t>(message.result));
    body.set_owner(message.owner.name.text());
    body.set_owner_incarnation(message.owner.incarnation);
}

idempotency::claim read(const pb::claim &in, field_check & /*check*/, core::time_point /*now*/)
{
    idempotency::claim message;
    message.sequence = in.sequence();
    message.key = {in.key_high(), in.key_low()};
    message.witnessIncarnation = in.witness_incarnation();
    message.witnessEpoch = in.witness_epoch();
    return message;
}

idempotency::claim_reply read(const pb::claim_reply &in, field_check &check,
                              core::time_point /*now*/)
{
    using idempotency::claim_result;
    idempotency::claim_reply message;
    message.sequence = in.sequence();
    message.result = check.enumeration(in.verdict(), claim_result::Refused, "verdict");
    message.owner.name = check.optionalName<core::node_name>(in.owner(), "owner");
    message.owner.incarnation = in.owner_incarnation();
    check.require(message.owner.name.empty() == (message.result == claim_result::Refused), "owner",
                  "does not match the verdict");
    return message;
}

} // namespace comfreypass::wire
