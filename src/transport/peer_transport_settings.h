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
    /** Returns the monotonic time, from which remaining times of received messages are counted. */
    std::function<core::time_point()> clock;
    /** Maximum messages that ZeroMQ queues per direction of a connection; more are dropped. */
    int queuedMessages = 1'000;
    /** Maximum messages pending until a connection is established. */
    std::size_t maxPendingMessages = 64;
    /** Time after which a message still pending for its connection is dropped. */
    std::chrono::milliseconds pendingTimeout{1'000};
    /** Time without a sent message after which a connection is closed. */
    std::chrono::milliseconds idleTimeout{60'000};
    std::chrono::milliseconds reconnectInitial{100};
    std::chrono::milliseconds reconnectMax{2'000};
    /** Maximum time that close() waits for queued messages to be sent. */
    std::chrono::milliseconds closeLinger{200};
    /** None: messages are neither encrypted nor authenticated. */
    std::optional<curve_settings> curve;
};

} // namespace comfreypass::transport
