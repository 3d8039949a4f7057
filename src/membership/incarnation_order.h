#pragma once

#include "core/incarnation.h"

#include <cstdint>

namespace comfreypass::membership {

/**
 * Returns the incarnation of a starting process: the wall-clock second of its start in the high 32
 * bits and random low bits. Of two incarnations of a name, the greater one is newer. Thread-safe.
 *
 * With purely random numbers, an old record still in transit could replace that of a restarted
 * node. The wall clock is only compared with earlier starts of the same name. If it was set back
 * between two starts, the new process learns the greater incarnation from its first peer and raises
 * its own above it (see membership_agent).
 */
core::incarnation makeIncarnation(std::uint64_t unixSeconds, std::uint64_t random) noexcept;

} // namespace comfreypass::membership
