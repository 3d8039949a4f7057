#pragma once

#include "core/name.h"
#include "membership/ack.h"
#include "membership/ping.h"
#include "membership/sheet_chunk.h"
#include "membership/sheet_patch.h"
#include "membership/sheet_request.h"
#include "membership/view_sync.h"

#include <variant>

namespace comfreypass::membership {

/** Any message of the membership protocol. */
using membership_message
    = std::variant<ping, ack, view_sync, sheet_request, sheet_patch, sheet_chunk>;

/** Message and its receiver. */
struct outgoing_message
{
    core::node_name to;
    membership_message message;
};

} // namespace comfreypass::membership
