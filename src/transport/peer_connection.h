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
 * Outgoing connection to one peer. ZeroMQ queues nothing until the connection is established, so
 * the first messages are kept here for a short time. Not thread-safe.
 */
class peer_connection
{
public:
    /**
     * Starts connecting. All references must outlive this object. Throws zmq::error_t if the
     * address is not an ip:port.
     */
    peer_connection(zmq::context_t &context, ACE_Reactor &reactor,
                    const peer_transport_settings &settings, peer_counters &counters,
                    std::string_view address, core::time_point now);

    /** Sends or queues a message; returns false if it was dropped. */
    bool send(const wire::peer_message &message, core::time_point now);

    /** Sends the pending messages and drops those older than the pending timeout. */
    void flush(core::time_point now);

    /** Returns true if no message is pending and none was sent within the idle timeout. */
    bool isIdle(core::time_point now) const;

    /** Allows queued messages up to the linger time to be sent after destruction. */
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
