#pragma once

#include "core/time_point.h"
#include "idempotency/witness_token.h"
#include "membership/member.h"

#include <span>
#include <string>

namespace comfreypass::node {

/** Returns a token that names these members as witnesses. Thread-safe. */
idempotency::witness_token makeWitnessToken(std::span<const membership::member> witnesses);

/**
 * Returns the body of the address list response as JSON: node addresses in the order in which to
 * try them, how long callers may cache them, the witness token and the fallback instructions.
 * Thread-safe.
 */
std::string addressResponse(std::span<const membership::member> nodes, core::duration keep,
                            const idempotency::witness_token &token);

} // namespace comfreypass::node
