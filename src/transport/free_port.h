#pragma once

#include <cstdint>

namespace comfreypass::transport {

/**
 * A loopback TCP port that nothing listens on now; 0 if there is none. Another process may take it
 * before it is used. For tests and demonstrations, where a node must know its port before it
 * listens.
 */
std::uint16_t freePort();

} // namespace comfreypass::transport
