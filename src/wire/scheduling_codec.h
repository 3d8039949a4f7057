#pragma once

#include "core/time_point.h"
#include "peer.pb.h"
#include "scheduling/lease_poll.h"
#include "scheduling/lease_vote.h"
#include "scheduling/permit_grant.h"
#include "scheduling/permit_refusal.h"
#include "scheduling/permit_release.h"
#include "scheduling/permit_request.h"
#include "scheduling/preempt_order.h"
#include "scheduling/step_down.h"
#include "wire/field_check.h"

/** Converts scheduling messages to and from protobuf. All functions are thread-safe. */
namespace comfreypass::wire {

void write(const scheduling::lease_poll &message, pb::envelope &out, core::time_point now);
void write(const scheduling::lease_vote &message, pb::envelope &out, core::time_point now);
void write(const scheduling::step_down &message, pb::envelope &out, core::time_point now);
void write(const scheduling::permit_request &message, pb::envelope &out, core::time_point now);
void write(const scheduling::permit_grant &message, pb::envelope &out, core::time_point now);
void write(const scheduling::permit_refusal &message, pb::envelope &out, core::time_point now);
void write(const scheduling::permit_release &message, pb::envelope &out, core::time_point now);
void write(const scheduling::preempt_order &message, pb::envelope &out, core::time_point now);

scheduling::lease_poll read(const pb::poll &in, field_check &check, core::time_point now);
scheduling::lease_vote read(const pb::vote &in, field_check &check, core::time_point now);
scheduling::step_down read(const pb::step_down &in, field_check &check, core::time_point now);
scheduling::permit_request read(const pb::permit_request &in, field_check &check,
                                core::time_point now);
scheduling::permit_grant read(const pb::grant &in, field_check &check, core::time_point now);
scheduling::permit_refusal read(const pb::refusal &in, field_check &check, core::time_point now);
scheduling::permit_release read(const pb::release &in, field_check &check, core::time_point now);
scheduling::preempt_order read(const pb::preempt &in, field_check &check, core::time_point now);

} // namespace comfreypass::wire
