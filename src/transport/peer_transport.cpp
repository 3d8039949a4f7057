#include "transport/peer_transport.h"

#include "core/incarnation.h"
#include "core/invariant.h"
#include "transport/key_authenticator.h"
#include "transport/peer_connection.h"
#include "transport/zmq_io.h"
#include "transport/zmq_watch.h"
#include "wire/codec.h"
#include "wire/limits.h"

#include <ace/Event_Handler.h>
#include <ace/Reactor.h>
#include <ace/Time_Value.h>
#include <zmq.hpp>

#include <algorithm>
#include <chrono>
#include <deque>
#include <span>
#include <unordered_map>
#include <utility>

namespace comfreypass::transport {

namespace {

constexpr std::size_t maxRetiredIncarnations = 1'024;
/** Maximum messages received before other events of the reactor are handled. */
constexpr int maxMessagesPerBatch = 256;
/** Frames of a DEALER message as a ROUTER receives it: connection id and body. */
constexpr std::size_t messageFrameCount = 2;
constexpr std::chrono::milliseconds maxCheckInterval{5'000};
/** A connection that does not complete its handshake is closed. */
constexpr int handshakeTimeoutMs = 5'000;
/**
 * Listen backlog: one connection for each member that the live view can hold. With ZeroMQ's default
 * of 100, up to 17 first messages of 200 simultaneously connecting peers exceeded the pending
 * timeout and were lost.
 */
constexpr int connectionBacklog = 1'024;
// The connection of a peer that disappeared is closed after about a minute.
constexpr int keepAliveIdleSeconds = 30;
constexpr int keepAliveIntervalSeconds = 10;
constexpr int keepAliveProbes = 3;

core::error ioError(const std::string &where, const zmq::error_t &cause)
{
    return {core::errc::Io, where, cause.what(), "choose an address and port that are free"};
}

} // namespace

class peer_transport::impl : private ACE_Event_Handler
{
public:
    impl(ACE_Reactor &reactor, peer_transport_settings settings, peer_handler &handler)
        : ACE_Event_Handler(&reactor), m_settings(std::move(settings)), m_handler(handler)
    {
        COMFREYPASS_INVARIANT(m_settings.clock);
    }

    ~impl() override { close(); }

    core::result<void> open()
    {
        COMFREYPASS_INVARIANT(!m_context);
        m_context.emplace();
        core::result<void> opened = listen();
        if (opened.has_error())
            close();
        return opened;
    }

    void close()
    {
        if (!m_context)
            return;
        reactor()->cancel_timer(this);
        m_watch.reset();
        m_router.close();
        m_address.clear();
        for (auto &[name, target] : m_peers) {
            if (!target.connection)
                continue;
            target.connection->flush(m_settings.clock());
            target.connection->lingerOnClose();
            target.connection.reset();
        }
        m_authenticator.reset();
        m_context.reset();
    }

    const std::string &address() const { return m_address; }
    const peer_counters &counters() const { return m_counters; }

    void setPeer(const core::node_name &name, std::string_view address)
    {
        peer &target = m_peers[name];
        if (target.address == address)
            return;
        target.connection.reset();
        target.address = address;
    }

    void removePeer(const core::node_name &name) { m_peers.erase(name); }

    void retire(const core::node_identity &identity)
    {
        if (isRetired(identity))
            return;
        m_retired.push_back(identity);
        if (m_retired.size() > maxRetiredIncarnations)
            m_retired.pop_front();
    }

    bool send(const core::node_name &to, const wire::peer_message &message, core::time_point now)
    {
        const auto found = m_peers.find(to);
        if (!m_context || found == m_peers.end() || !connect(found->second, now)) {
            ++m_counters.unknownPeer;
            return false;
        }
        return found->second.connection->send(message, now);
    }

    std::size_t connections() const
    {
        const auto isConnected = [](const auto &item) {
            return item.second.connection != nullptr;
        };
        return static_cast<std::size_t>(std::count_if(m_peers.begin(), m_peers.end(), isConnected));
    }

private:
    struct peer
    {
        std::string address;
        std::unique_ptr<peer_connection> connection;
    };

    core::result<void> listen()
    {
        try {
            if (m_settings.curve.has_value()) {
                m_authenticator = std::make_unique<key_authenticator>(*reactor(), *m_context,
                                                                      m_counters.refusedKeys);
                core::result<void> opened = m_authenticator->open(m_settings.curve->allowedClients);
                if (opened.has_error())
                    return opened;
            }
            bindRouter();
        } catch (const zmq::error_t &cause) {
            return ioError(m_settings.address, cause);
        }
        m_watch = std::make_unique<zmq_watch>(*reactor(), m_router, [this] { receive(); });
        const std::chrono::milliseconds interval = std::clamp(
            m_settings.idleTimeout / 4, std::chrono::milliseconds{10}, maxCheckInterval);
        const ACE_Time_Value period{interval};
        reactor()->schedule_timer(this, nullptr, period, period);
        return boost::outcome_v2::success();
    }

    void bindRouter()
    {
        using namespace zmq;
        m_router = socket_t{*m_context, socket_type::router};
        m_router.set(sockopt::linger, 0);
        m_router.set(sockopt::ipv6, true);
        m_router.set(sockopt::rcvhwm, m_settings.queuedMessages);
        m_router.set(sockopt::maxmsgsize, static_cast<std::int64_t>(wire::maxMessageBytes));
        m_router.set(sockopt::handshake_ivl, handshakeTimeoutMs);
        m_router.set(sockopt::backlog, connectionBacklog);
        m_router.set(sockopt::tcp_keepalive, 1);
        m_router.set(sockopt::tcp_keepalive_idle, keepAliveIdleSeconds);
        m_router.set(sockopt::tcp_keepalive_intvl, keepAliveIntervalSeconds);
        m_router.set(sockopt::tcp_keepalive_cnt, keepAliveProbes);
        if (m_settings.curve.has_value()) {
            m_router.set(sockopt::zap_domain, "comfreypass");
            m_router.set(sockopt::curve_server, true);
            m_router.set(sockopt::curve_secretkey, m_settings.curve->serverSecretKey);
        }
        m_router.bind("tcp://" + m_settings.address);
        m_address = m_router.get(sockopt::last_endpoint).substr(std::string_view{"tcp://"}.size());
    }

    bool connect(peer &target, core::time_point now)
    {
        if (target.connection)
            return true;
        try {
            target.connection = std::make_unique<peer_connection>(
                *m_context, *reactor(), m_settings, m_counters, target.address, now);
        } catch (const zmq::error_t &) {
            return false;
        }
        return true;
    }

    void receive()
    {
        for (int received = 0; received < maxMessagesPerBatch; ++received) {
            const auto count = tryReceiveMessage(m_router, m_frames, messageFrameCount);
            if (!count)
                return;
            if (*count == messageFrameCount)
                onBody(m_frames[1]);
            else
                ++m_counters.malformed;
        }
        m_watch->scheduleCall();
    }

    void onBody(const zmq::message_t &body)
    {
        const std::span bytes{body.data<std::byte>(), body.size()};
        core::result<wire::received_message> decoded = wire::decode(bytes, m_settings.clock());
        if (decoded.has_error()) {
            const bool isUnknownVersion = decoded.error().code == core::errc::Refused;
            ++(isUnknownVersion ? m_counters.unknownVersion : m_counters.malformed);
            return;
        }
        if (isRetired(decoded.value().sender)) {
            ++m_counters.pastIncarnation;
            return;
        }
        peer_counters::traffic &received = m_counters.received.at(decoded.value().body.index());
        ++received.messages;
        received.bytes += body.size();
        m_handler.onPeerMessage(std::move(decoded).value());
    }

    bool isRetired(const core::node_identity &identity) const
    {
        return std::find(m_retired.begin(), m_retired.end(), identity) != m_retired.end();
    }

    int handle_timeout(const ACE_Time_Value & /*now*/, const void * /*argument*/) override
    {
        const core::time_point now = m_settings.clock();
        for (auto &[name, target] : m_peers) {
            if (!target.connection)
                continue;
            target.connection->flush(now);
            if (target.connection->isIdle(now))
                target.connection.reset();
        }
        return 0;
    }

    peer_transport_settings m_settings;
    peer_handler &m_handler;
    peer_counters m_counters;
    std::string m_address;
    std::deque<core::node_identity> m_retired;
    zmq_frames m_frames;
    std::optional<zmq::context_t> m_context;
    std::unique_ptr<key_authenticator> m_authenticator;
    zmq::socket_t m_router;
    std::unique_ptr<zmq_watch> m_watch;
    std::unordered_map<core::node_name, peer> m_peers;
};

peer_transport::peer_transport(ACE_Reactor &reactor, peer_transport_settings settings,
                               peer_handler &handler)
    : m_impl(std::make_unique<impl>(reactor, std::move(settings), handler))
{ }

peer_transport::~peer_transport() = default;

core::result<void> peer_transport::open()
{
    return m_impl->open();
}

void peer_transport::close()
{
    m_impl->close();
}

const std::string &peer_transport::address() const noexcept
{
    return m_impl->address();
}

void peer_transport::setPeer(const core::node_name &name, std::string_view address)
{
    m_impl->setPeer(name, address);
}

void peer_transport::removePeer(const core::node_name &name)
{
    m_impl->removePeer(name);
}

void peer_transport::retire(const core::node_identity &identity)
{
    m_impl->retire(identity);
}

bool peer_transport::send(const core::node_name &to, const wire::peer_message &message,
                          core::time_point now)
{
    return m_impl->send(to, message, now);
}

const peer_counters &peer_transport::counters() const noexcept
{
    return m_impl->counters();
}

std::size_t peer_transport::connections() const noexcept
{
    return m_impl->connections();
}

} // namespace comfreypass::transport
