#pragma once

#include "membership/outgoing_message.h"

#include <cstddef>

namespace comfreypass::bench {

/** Estimated bytes of a message on the wire: protobuf envelope and ZeroMQ frame, without TCP/IP. */
std::size_t messageSize(const membership::membership_message &message);

} // namespace comfreypass::bench
