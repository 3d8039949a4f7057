#pragma once

#include "core/incarnation.h"

#include <cstdint>

namespace comfreypass::membership {

/**
 * Makes the incarnation of a starting process: the wall-clock second of its start in the high 32
 * bits, random low bits. The greater of two incarnations of a name is the newer one. Thread-safe.
 *
 * Purely random numbers would let an old record that is still under way replace a restarted node.
 * The wall clock is compared only with earlier starts of the same name. If it was set back between
 * two starts, the new process learns of the greater incarnation from its first peer and raises its
 * own above it (see membership_agent).
 */
core::incarnation makeIncarnation(std::uint64_t unixSeconds, std::uint64_t random) noexcept;

} // namespace comfreypass::membership
