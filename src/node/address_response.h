#pragma once

#include "core/time_point.h"
#include "idempotency/witness_token.h"
#include "membership/member.h"

#include <span>
#include <string>

namespace comfreypass::node {

/** Token that names these members as witnesses. Thread-safe. */
idempotency::witness_token makeWitnessToken(std::span<const membership::member> witnesses);

/**
 * The answer to "which addresses shall I use": addresses in the order in which to try them, how
 * long the answer may be kept, the witness token, and how to fall back. Thread-safe.
 */
std::string addressResponse(std::span<const membership::member> nodes, core::duration keep,
                            const idempotency::witness_token &token);

} // namespace comfreypass::node
