#pragma once

#include "core/name.h"
#include "core/result.h"
#include "transport/peer_counters.h"
#include "transport/peer_handler.h"
#include "transport/peer_transport_settings.h"
#include "wire/peer_message.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

class ACE_Reactor;

namespace comfreypass::transport {

/**
 * Messages between nodes over ZeroMQ, driven by an ACE reactor.
 *
 * Messages may be lost, and messages on different connections may be reordered. Incarnations are
 * random numbers without an order, so the transport cannot determine which of two is older: it
 * drops only messages of incarnations that the receiver has retired and passes on the rest. All
 * methods must be called in the reactor's thread.
 */
class peer_transport
{
public:
    /** Reactor and handler must outlive the object. */
    peer_transport(ACE_Reactor &reactor, peer_transport_settings settings, peer_handler &handler);
    ~peer_transport();

    peer_transport(const peer_transport &) = delete;
    peer_transport &operator=(const peer_transport &) = delete;

    /** Binds the address and starts receiving. Errors: Io if the address cannot be bound,
     * InvalidArgument for a malformed CURVE key. */
    core::result<void> open();

    /**
     * Sends queued messages for at most the linger time and closes all sockets. Must not be called
     * from onPeerMessage().
     */
    void close();

    /** Returns the bound ip:port; empty unless open. */
    const std::string &address() const noexcept;

    /** Sets the ip:port of a peer; closes an existing connection to a different address. */
    void setPeer(const core::node_name &name, std::string_view address);

    /** Removes a peer and drops the messages queued for it. */
    void removePeer(const core::node_name &name);

    /** Drops and counts all further messages of an incarnation. The latest 1,024 are kept. */
    void retire(const core::node_identity &identity);

    /**
     * Queues a message; connects first if needed. Absolute deadlines are converted to remaining
     * times when the message is passed to ZeroMQ, at `now` if the peer is connected. Returns false
     * and counts the message if it was dropped: no address, queue full, or too large.
     */
    bool send(const core::node_name &to, const wire::peer_message &message, core::time_point now);

    const peer_counters &counters() const noexcept;

    /** Returns the number of outgoing connections, established or being established. */
    std::size_t connections() const noexcept;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace comfreypass::transport
