#pragma once

#include "core/incarnation.h"
#include "core/time_point.h"
#include "transport/curve_settings.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>
#include <string>

namespace comfreypass::transport {

/** Settings of the connections between nodes. */
struct peer_transport_settings
{
    core::node_identity self;
    /** ip:port to listen on; port 0 lets the system choose. */
    std::string address;
    /** Reads the monotonic clock; remaining times of received messages count from it. */
    std::function<core::time_point()> clock;
    /** Messages that ZeroMQ queues in each direction of a connection; more are dropped. */
    int queuedMessages = 1'000;
    /** Messages that wait for one connection to be made. */
    std::size_t maxPendingMessages = 64;
    /** A message that waited this long for its connection is dropped. */
    std::chrono::milliseconds pendingTimeout{1'000};
    /** Connections that sent nothing for this time are closed. */
    std::chrono::milliseconds idleTimeout{60'000};
    std::chrono::milliseconds reconnectInitial{100};
    std::chrono::milliseconds reconnectMax{2'000};
    /** How long close() waits for queued messages. */
    std::chrono::milliseconds closeLinger{200};
    /** None: messages are neither encrypted nor authenticated. */
    std::optional<curve_settings> curve;
};

} // namespace comfreypass::transport
