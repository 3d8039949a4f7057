#include "wire/scheduling_codec.h"

#include "core/tier.h"
#include "wire/limits.h"
#include "wire/milliseconds.h"

namespace comfreypass::wire {

namespace {

using ramp_list = google::protobuf::RepeatedPtrField<pb::ramp_state>;
using dispatch_list = google::protobuf::RepeatedPtrField<pb::running_dispatch>;

void writeRamps(const std::vector<scheduling::ramp_state> &ramps, ramp_list &out)
{
    out.Reserve(static_cast<int>(ramps.size()));
    for (const scheduling::ramp_state &ramp : ramps) {
        pb::ramp_state &state = *out.Add();
        state.set_engine(ramp.engine.text());
        state.set_limit(ramp.limit);
        state.set_evidence(ramp.evidence);
        state.set_engine_epoch(ramp.engineEpoch);
        state.set_version(ramp.version);
    }
}

std::vector<scheduling::ramp_state> readRamps(const ramp_list &in, field_check &check)
{
    std::vector<scheduling::ramp_state> ramps;
    if (!check.size(static_cast<std::size_t>(in.size()), maxRampsPerMessage, "ramps"))
        return ramps;
    ramps.reserve(static_cast<std::size_t>(in.size()));
    for (const pb::ramp_state &state : in) {
        ramps.push_back({check.name<core::engine_name>(state.engine(), "ramp.engine"),
                         state.limit(), state.evidence(), state.engine_epoch(), state.version()});
    }
    return ramps;
}

void writeDispatches(const std::vector<scheduling::running_dispatch> &running, dispatch_list &out,
                     core::time_point now)
{
    out.Reserve(static_cast<int>(running.size()));
    for (const scheduling::running_dispatch &dispatch : running) {
        pb::running_dispatch &entry = *out.Add();
        entry.set_request_id(dispatch.request);
        entry.set_permit(dispatch.permit);
        entry.set_engine(dispatch.engine.text());
        entry.set_tier(dispatch.tier);
        entry.set_team(dispatch.team.text());
        entry.set_prefill_tokens(dispatch.cost.prefillTokens);
        entry.set_decode_tokens(dispatch.cost.decodeTokens);
        // Rounded up: the scheduler counts the dispatch until its deadline.
        entry.set_remaining_ms(ceilMs(dispatch.deadline - now));
        entry.set_preemptible(dispatch.preemptible);
    }
}

core::tier readTier(std::uint32_t value, field_check &check)
{
    return check.enumeration(value, core::lowestTier, "tier");
}

scheduling::running_dispatch readDispatch(const pb::running_dispatch &in, field_check &check,
                                          core::time_point now)
{
    scheduling::running_dispatch dispatch;
    dispatch.request = in.request_id();
    dispatch.permit = in.permit();
    dispatch.engine = check.name<core::engine_name>(in.engine(), "running.engine");
    dispatch.tier = readTier(in.tier(), check);
    dispatch.team = check.name<core::team_name>(in.team(), "running.team");
    dispatch.cost = {in.prefill_tokens(), in.decode_tokens()};
    dispatch.deadline
        = now + check.milliseconds(in.remaining_ms(), maxRemainingMs, "running.remaining_ms");
    dispatch.preemptible = in.preemptible();
    return dispatch;
}

std::vector<scheduling::running_dispatch> readDispatches(const dispatch_list &in,
                                                         field_check &check, core::time_point now)
{
    std::vector<scheduling::running_dispatch> running;
    if (!check.size(static_cast<std::size_t>(in.size()), maxDispatchesPerMessage, "running"))
        return running;
    running.reserve(static_cast<std::size_t>(in.size()));
    for (const pb::running_dispatch &entry : in)
        running.push_back(readDispatch(entry, check, now));
    return running;
}

core::upstream_name readUpstream(const std::string &text, field_check &check)
{
    return check.name<core::upstream_name>(text, "upstream");
}

} // namespace

void write(const scheduling::lease_poll &message, pb::envelope &out, core::time_point /*now*/)
{
    pb::poll &body = *out.mutable_poll();
    body.set_upstream(message.upstream.text());
    body.set_sequence(message.sequence);
    // Rounded up: the voter must be bound at least as long as the scheduler relies on its vote.
    body.set_lease_ms(ceilMs(message.lease));
    writeRamps(message.ramps, *body.mutable_ramps());
}

void write(const scheduling::lease_vote &message, pb::envelope &out, core::time_point now)
{
    pb::vote &body = *out.mutable_vote();
    body.set_upstream(message.upstream.text());
    body.set_sequence(message.sequence);
    body.set_promised(message.granted);
    body.set_preferred(message.preferred.text());
    writeDispatches(message.running, *body.mutable_running(), now);
    writeRamps(message.ramps, *body.mutable_ramps());
}

void write(const scheduling::step_down &message, pb::envelope &out, core::time_point /*now*/)
{
    out.mutable_step_down()->set_upstream(message.upstream.text());
}

void write(const scheduling::permit_request &message, pb::envelope &out, core::time_point now)
{
    pb::permit_request &body = *out.mutable_permit_request();
    body.set_request_id(message.request);
    body.set_upstream(message.upstream.text());
    body.set_model(message.model.text());
    body.set_tier(message.tier);
    body.set_team(message.team.text());
    body.set_prefill_tokens(message.cost.prefillTokens);
    body.set_decode_tokens(message.cost.decodeTokens);
    body.mutable_prefix_hashes()->Add(message.prefixHashes.begin(), message.prefixHashes.end());
    body.set_remaining_ms(floorMs(message.deadline - now));
    body.set_preemptible(message.preemptible);
}

void write(const scheduling::permit_grant &message, pb::envelope &out, core::time_point /*now*/)
{
    pb::grant &body = *out.mutable_grant();
    body.set_request_id(message.request);
    body.set_permit(message.permit);
    body.set_upstream(message.upstream.text());
    body.set_engine(message.engine.text());
    body.set_lease_sequence(message.leaseSequence);
    body.set_valid_ms(floorMs(message.validFor));
    body.set_cached_prefill_tokens(message.cachedPrefillTokens);
}

void write(const scheduling::permit_refusal &message, pb::envelope &out, core::time_point /*now*/)
{
    pb::refusal &body = *out.mutable_refusal();
    body.set_request_id(message.request);
    body.set_upstream(message.upstream.text());
    body.set_reason(static_cast<std::uint32_t>(message.reason));
    body.set_retry_after_ms(ceilMs(message.retryAfter));
}

void write(const scheduling::permit_release &message, pb::envelope &out, core::time_point /*now*/)
{
    pb::release &body = *out.mutable_release();
    body.set_request_id(message.request);
    body.set_permit(message.permit);
    body.set_upstream(message.upstream.text());
    body.set_result(static_cast<std::uint32_t>(message.result));
    body.set_prefill_tokens(message.actual.prefillTokens);
    body.set_decode_tokens(message.actual.decodeTokens);
    // Rounded up: zero means that there was no first token.
    body.set_first_token_ms(ceilMs(message.firstToken));
    body.set_in_time(message.inTime);
}

void write(const scheduling::preempt_order &message, pb::envelope &out, core::time_point /*now*/)
{
    pb::preempt &body = *out.mutable_preempt();
    body.set_request_id(message.request);
    body.set_permit(message.permit);
    body.set_upstream(message.upstream.text());
}

scheduling::lease_poll read(const pb::poll &in, field_check &check, core::time_point /*now*/)
{
    scheduling::lease_poll message;
    message.upstream = readUpstream(in.upstream(), check);
    message.sequence = in.sequence();
    message.lease = check.milliseconds(in.lease_ms(), maxLeaseMs, "lease_ms");
    message.ramps = readRamps(in.ramps(), check);
    return message;
}

scheduling::lease_vote read(const pb::vote &in, field_check &check, core::time_point now)
{
    scheduling::lease_vote message;
    message.upstream = readUpstream(in.upstream(), check);
    message.sequence = in.sequence();
    message.granted = in.promised();
    message.preferred = check.optionalName<core::node_name>(in.preferred(), "preferred");
    message.running = readDispatches(in.running(), check, now);
    message.ramps = readRamps(in.ramps(), check);
    return message;
}

scheduling::step_down read(const pb::step_down &in, field_check &check, core::time_point /*now*/)
{
    return {readUpstream(in.upstream(), check)};
}

scheduling::permit_request read(const pb::permit_request &in, field_check &check,
                                core::time_point now)
{
    scheduling::permit_request message;
    message.request = in.request_id();
    message.upstream = readUpstream(in.upstream(), check);
    message.model = check.optionalName<core::model_name>(in.model(), "model");
    message.tier = readTier(in.tier(), check);
    message.team = check.name<core::team_name>(in.team(), "team");
    message.cost = {in.prefill_tokens(), in.decode_tokens()};
    const auto hashes = static_cast<std::size_t>(in.prefix_hashes_size());
    if (check.size(hashes, maxPrefixHashes, "prefix_hashes"))
        message.prefixHashes.assign(in.prefix_hashes().begin(), in.prefix_hashes().end());
    message.deadline = now + check.milliseconds(in.remaining_ms(), maxRemainingMs, "remaining_ms");
    message.preemptible = in.preemptible();
    return message;
}

scheduling::permit_grant read(const pb::grant &in, field_check &check, core::time_point /*now*/)
{
    scheduling::permit_grant message;
    message.request = in.request_id();
    message.permit = in.permit();
    message.upstream = readUpstream(in.upstream(), check);
    message.engine = check.name<core::engine_name>(in.engine(), "engine");
    message.leaseSequence = in.lease_sequence();
    message.validFor = check.milliseconds(in.valid_ms(), maxRemainingMs, "valid_ms");
    message.cachedPrefillTokens = in.cached_prefill_tokens();
    return message;
}

scheduling::permit_refusal read(const pb::refusal &in, field_check &check, core::time_point /*now*/)
{
    scheduling::permit_refusal message;
    message.request = in.request_id();
    message.upstream = readUpstream(in.upstream(), check);
    message.reason
        = check.enumeration(in.reason(), scheduling::refusal_reason::LeaseLost, "reason");
    message.retryAfter = check.milliseconds(in.retry_after_ms(), maxRemainingMs, "retry_after_ms");
    return message;
}

scheduling::permit_release read(const pb::release &in, field_check &check, core::time_point /*now*/)
{
    scheduling::permit_release message;
    message.request = in.request_id();
    message.permit = in.permit();
    message.upstream = readUpstream(in.upstream(), check);
    message.result
        = check.enumeration(in.result(), scheduling::dispatch_result::NotDispatched, "result");
    message.actual = {in.prefill_tokens(), in.decode_tokens()};
    message.firstToken = check.milliseconds(in.first_token_ms(), maxRemainingMs, "first_token_ms");
    message.inTime = in.in_time();
    return message;
}

scheduling::preempt_order read(const pb::preempt &in, field_check &check, core::time_point /*now*/)
{
    scheduling::preempt_order message;
    message.request = in.request_id();
    message.permit = in.permit();
    message.upstream = readUpstream(in.upstream(), check);
    return message;
}

} // namespace comfreypass::wire
