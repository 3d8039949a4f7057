#pragma once

#include "membership/outgoing_message.h"

#include <cstddef>

namespace comfreypass::bench {

/** Returns the estimated size of a message in bytes, with protobuf envelope and ZeroMQ frame but
 * without TCP/IP headers. */
std::size_t messageSize(const membership::membership_message &message);

} // namespace comfreypass::bench
