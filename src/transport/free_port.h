#pragma once

#include <cstdint>

namespace comfreypass::transport {

/**
 * Returns a loopback TCP port that is currently unused, or 0 if none could be bound. Another
 * process may bind it before it is used. For tests and demonstrations, where a node must know its
 * port before it listens.
 */
std::uint16_t freePort();

} // namespace comfreypass::transport
