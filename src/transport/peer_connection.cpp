#include "transport/peer_connection.h"

#include "transport/zmq_io.h"
#include "wire/codec.h"
#include "wire/limits.h"

#include <chrono>

namespace comfreypass::transport {

namespace {

// Time limits that detect a peer that disappeared without closing its connections.
constexpr std::chrono::milliseconds connectTimeout{1'000};
constexpr std::chrono::milliseconds unacknowledgedTimeout{5'000};

int toMs(std::chrono::milliseconds value)
{
    return static_cast<int>(value.count());
}

zmq::socket_t connectTo(zmq::context_t &context, const peer_transport_settings &settings,
                        std::string_view address)
{
    using namespace zmq;
    socket_t socket{context, socket_type::dealer};
    socket.set(sockopt::linger, 0);
    socket.set(sockopt::ipv6, true);
    socket.set(sockopt::immediate, true);
    socket.set(sockopt::sndhwm, settings.queuedMessages);
    socket.set(sockopt::maxmsgsize, static_cast<std::int64_t>(wire::maxMessageBytes));
    socket.set(sockopt::reconnect_ivl, toMs(settings.reconnectInitial));
    socket.set(sockopt::reconnect_ivl_max, toMs(settings.reconnectMax));
    socket.set(sockopt::connect_timeout, toMs(connectTimeout));
    socket.set(sockopt::tcp_maxrt, toMs(unacknowledgedTimeout));
    if (settings.curve.has_value()) {
        socket.set(sockopt::curve_serverkey, settings.curve->serverPublicKey);
        socket.set(sockopt::curve_publickey, settings.curve->clientPublicKey);
        socket.set(sockopt::curve_secretkey, settings.curve->clientSecretKey);
    }
    socket.connect("tcp://" + std::string{address});
    return socket;
}

} // namespace

peer_connection::peer_connection(zmq::context_t &context, ACE_Reactor &reactor,
                                 const peer_transport_settings &settings, peer_counters &counters,
                                 std::string_view address, core::time_point now)
    : m_settings(settings), m_counters(counters), m_lastSendAt(now),
      m_socket(connectTo(context, settings, address)),
      m_watch(reactor, m_socket, [this] { flush(m_settings.clock()); })
{ }

bool peer_connection::send(const wire::peer_message &message, core::time_point now)
{
    m_lastSendAt = now;
    flush(now);
    const send_status status = m_pending.empty() ? trySend(message, now) : send_status::WouldBlock;
    if (status != send_status::WouldBlock)
        return status == send_status::Sent;
    if (m_pending.size() >= m_settings.maxPendingMessages) {
        ++m_counters.queueFull;
        return false;
    }
    m_pending.push_back({now, message});
    return true;
}

void peer_connection::flush(core::time_point now)
{
    // Reading the events makes ZeroMQ process the commands signalled on its descriptor.
    const bool writable = (m_socket.get(zmq::sockopt::events) & ZMQ_POLLOUT) != 0;
    while (!m_pending.empty()) {
        const pending_message &next = m_pending.front();
        if (now - next.queuedAt > m_settings.pendingTimeout)
            ++m_counters.queueFull;
        else if (!writable || trySend(next.message, now) == send_status::WouldBlock)
            return;
        m_pending.pop_front();
    }
}

bool peer_connection::isIdle(core::time_point now) const
{
    return m_pending.empty() && now - m_lastSendAt > m_settings.idleTimeout;
}

void peer_connection::lingerOnClose()
{
    m_socket.set(zmq::sockopt::linger, toMs(m_settings.closeLinger));
}

peer_connection::send_status peer_connection::trySend(const wire::peer_message &message,
                                                      core::time_point now)
{
    const std::string bytes = wire::encode(m_settings.self, message, now);
    if (bytes.size() > wire::maxMessageBytes) {
        ++m_counters.tooLarge;
        return send_status::TooLarge;
    }
    if (!trySendFrame(m_socket, bytes))
        return send_status::WouldBlock;
    peer_counters::traffic &sent = m_counters.sent.at(message.index());
    ++sent.messages;
    sent.bytes += bytes.size();
    return send_status::Sent;
}

} // namespace comfreypass::transport
