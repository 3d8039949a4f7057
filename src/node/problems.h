#pragma once

#include "core/time_point.h"
#include "scheduling/refusal_reason.h"
#include "transport/problem.h"

#include <string>
#include <string_view>

namespace comfreypass::node::problems {

/** A request that is wrong in itself; repeating it unchanged gives the same answer. */
transport::problem badRequest(std::string reason, std::string detail);

/** The caller is not known, or may not do this. */
transport::problem unauthorized();
transport::problem forbidden(std::string reason, std::string detail);
transport::problem notFound(std::string reason, std::string detail);

/** The request lacks an idempotency key or a witness token that this operation needs. */
transport::problem preconditionRequired(std::string reason, std::string detail);

/** The scheduler gave no permit. */
transport::problem refusedByScheduler(scheduling::refusal_reason reason, core::duration retryAfter);

/** The node cannot take the request now; nothing was sent to an upstream. */
transport::problem unavailable(std::string reason, std::string detail);

/** The request may have run, and the answer is not to be had here. */
transport::problem unknownOutcome(unsigned status, std::string reason, std::string detail);

} // namespace comfreypass::node::problems
