#pragma once

#include "core/time_point.h"
#include "scheduling/refusal_reason.h"
#include "transport/problem.h"

#include <string>
#include <string_view>

namespace comfreypass::node::problems {

/** The request is invalid; repeating it unchanged fails again. */
transport::problem badRequest(std::string reason, std::string detail);

/** The caller is unknown, or lacks permission. */
transport::problem unauthorized();
transport::problem forbidden(std::string reason, std::string detail);
transport::problem notFound(std::string reason, std::string detail);

/** The request lacks an idempotency key or a witness token that this operation needs. */
transport::problem preconditionRequired(std::string reason, std::string detail);

/** The scheduler refused a permit. */
transport::problem refusedByScheduler(scheduling::refusal_reason reason, core::duration retryAfter);

/** The node cannot accept the request now; nothing was sent to an upstream. */
transport::problem unavailable(std::string reason, std::string detail);

/** The request may have run, and its response is not available on this node. */
transport::problem unknownOutcome(unsigned status, std::string reason, std::string detail);

} // namespace comfreypass::node::problems
