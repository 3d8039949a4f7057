#include "transport/key_authenticator.h"

#include <zmq.h>

#include <array>

namespace comfreypass::transport {

namespace {

constexpr std::size_t binaryKeyBytes = 32;
constexpr std::size_t textKeyBytes = 40;

// Frames of a ZAP request: version, request id, domain, address, identity, mechanism, client key.
constexpr std::size_t requestFrameCount = 7;
constexpr std::size_t requestIdFrame = 1;
constexpr std::size_t mechanismFrame = 5;
constexpr std::size_t clientKeyFrame = 6;

} // namespace

key_authenticator::key_authenticator(ACE_Reactor &reactor, zmq::context_t &context,
                                     std::uint64_t &refusedCount)
    : m_reactor(reactor), m_refusedCount(refusedCount), m_socket(context, zmq::socket_type::rep)
{
    m_socket.set(zmq::sockopt::linger, 0);
}

core::result<void> key_authenticator::open(std::span<const std::string> allowedClients)
{
    for (const std::string &text : allowedClients) {
        std::array<std::uint8_t, binaryKeyBytes> key{};
        if (text.size() != textKeyBytes || zmq_z85_decode(key.data(), text.c_str()) == nullptr) {
            return core::error{core::errc::InvalidArgument, "allowed client key",
                               "is not a CURVE key of 40 Z85 characters",
                               "create it with curve_keygen"};
        }
        m_allowed.emplace(key.begin(), key.end());
    }
    m_socket.bind("inproc://zeromq.zap.01");
    m_watch = std::make_unique<zmq_watch>(m_reactor, m_socket, [this] { processRequests(); });
    return boost::outcome_v2::success();
}

void key_authenticator::processRequests()
{
    while (const auto count = tryReceiveMessage(m_socket, m_frames, requestFrameCount)) {
        const bool allowed = isAllowed(*count);
        if (!allowed)
            ++m_refusedCount;
        const std::string_view id
            = *count > requestIdFrame ? frameText(m_frames[requestIdFrame]) : "";
        trySendFrame(m_socket, "1.0", true);
        trySendFrame(m_socket, id, true);
        trySendFrame(m_socket, allowed ? "200" : "400", true);
        trySendFrame(m_socket, allowed ? "OK" : "unknown client key", true);
        trySendFrame(m_socket, "", true);
        trySendFrame(m_socket, "");
    }
}

bool key_authenticator::isAllowed(std::size_t count) const
{
    return count == requestFrameCount && frameText(m_frames[mechanismFrame]) == "CURVE"
           && m_allowed.contains(frameText(m_frames[clientKeyFrame]));
}

} // namespace comfreypass::transport
