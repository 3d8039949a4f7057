#pragma once

#include "core/time_point.h"
#include "transport/peer_counters.h"
#include "transport/peer_transport_settings.h"
#include "transport/zmq_watch.h"
#include "wire/peer_message.h"

#include <zmq.hpp>

#include <deque>
#include <string>
#include <string_view>

class ACE_Reactor;

namespace comfreypass::transport {

/**
 * Outgoing connection to one peer. ZeroMQ queues nothing before the connection is made, so the
 * first messages wait here for a short time. Not thread-safe.
 */
class peer_connection
{
public:
    /**
     * Begins to connect. All references must outlive this. Throws zmq::error_t if the address is
     * no ip:port.
     */
    peer_connection(zmq::context_t &context, ACE_Reactor &reactor,
                    const peer_transport_settings &settings, peer_counters &counters,
                    std::string_view address, core::time_point now);

    /** Sends or queues a message; false if it was dropped. */
    bool send(const wire::peer_message &message, core::time_point now);

    /** Sends the waiting messages that are not too old. */
    void flush(core::time_point now);

    /** True if nothing waits and nothing was sent for the idle time. */
    bool isIdle(core::time_point now) const;

    /** Lets queued messages be sent for up to the linger time when the object is destroyed. */
    void lingerOnClose();

private:
    enum class send_status { Sent, WouldBlock, TooLarge };

    struct pending_message
    {
        core::time_point queuedAt;
        wire::peer_message message;
    };

    send_status trySend(const wire::peer_message &message, core::time_point now);

    const peer_transport_settings &m_settings;
    peer_counters &m_counters;
    core::time_point m_lastSendAt;
    std::deque<pending_message> m_pending;
    zmq::socket_t m_socket;
    zmq_watch m_watch;
};

} // namespace comfreypass::transport
