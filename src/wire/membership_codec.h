#pragma once

#include "core/time_point.h"
#include "membership/ack.h"
#include "membership/ping.h"
#include "membership/sheet_chunk.h"
#include "membership/sheet_patch.h"
#include "membership/sheet_request.h"
#include "membership/view_sync.h"
#include "peer.pb.h"
#include "wire/field_check.h"

/** Converts membership messages to and from protobuf. All functions are thread-safe. */
namespace comfreypass::wire {

void write(const membership::ping &message, pb::envelope &out, core::time_point now);
void write(const membership::ack &message, pb::envelope &out, core::time_point now);
void write(const membership::view_sync &message, pb::envelope &out, core::time_point now);
void write(const membership::sheet_request &message, pb::envelope &out, core::time_point now);
void write(const membership::sheet_patch &message, pb::envelope &out, core::time_point now);
void write(const membership::sheet_chunk &message, pb::envelope &out, core::time_point now);

membership::ping read(const pb::ping &in, field_check &check, core::time_point now);
membership::ack read(const pb::ack &in, field_check &check, core::time_point now);
membership::view_sync read(const pb::view_sync &in, field_check &check, core::time_point now);
membership::sheet_request read(const pb::sheet_request &in, field_check &check,
                               core::time_point now);
membership::sheet_patch read(const pb::sheet_patch &in, field_check &check, core::time_point now);
membership::sheet_chunk read(const pb::sheet_chunk &in, field_check &check, core::time_point now);

} // namespace comfreypass::wire
