#pragma once

#include "core/name.h"
#include "scheduling/lease_poll.h"
#include "scheduling/permit_grant.h"
#include "scheduling/permit_refusal.h"
#include "scheduling/preempt_order.h"
#include "scheduling/step_down.h"

#include <variant>

namespace comfreypass::scheduling {

/** A message to be sent for a pool scheduler; the receiver may be the scheduler's own node. */
struct outgoing
{
    core::node_name to;
    std::variant<lease_poll, step_down, permit_grant, permit_refusal, preempt_order> message;
};

} // namespace comfreypass::scheduling
