#include "transport/key_gate.h"

#include <zmq.h>

#include <array>

namespace comfreypass::transport {

namespace {

constexpr std::size_t binaryKeyBytes = 32;
constexpr std::size_t textKeyBytes = 40;

// Frames of a request: version, request id, domain, address, identity, mechanism, client key.
constexpr std::size_t requestFrames = 7;
constexpr std::size_t idFrame = 1;
constexpr std::size_t mechanismFrame = 5;
constexpr std::size_t keyFrame = 6;

} // namespace

key_gate::key_gate(ACE_Reactor &reactor, zmq::context_t &context, std::uint64_t &refused)
    : m_reactor(reactor), m_refused(refused), m_socket(context, zmq::socket_type::rep)
{
    m_socket.set(zmq::sockopt::linger, 0);
}

core::result<void> key_gate::open(std::span<const std::string> allowedClients)
{
    for (const std::string &text : allowedClients) {
        std::array<std::uint8_t, binaryKeyBytes> key{};
        if (text.size() != textKeyBytes || zmq_z85_decode(key.data(), text.c_str()) == nullptr) {
            return core::error{core::errc::InvalidArgument, "allowed client key",
                               "is not a CURVE key of 40 characters",
                               "create it with curve_keygen"};
        }
        m_allowed.emplace(key.begin(), key.end());
    }
    m_socket.bind("inproc://zeromq.zap.01");
    m_watch = std::make_unique<zmq_watch>(m_reactor, m_socket, [this] { answerAll(); });
    return boost::outcome_v2::success();
}

void key_gate::answerAll()
{
    while (const auto count = receiveNow(m_socket, m_frames, requestFrames)) {
        const bool allowed = isAllowed(*count);
        if (!allowed)
            ++m_refused;
        const std::string_view id = *count > idFrame ? textOf(m_frames[idFrame]) : "";
        sendNow(m_socket, "1.0", true);
        sendNow(m_socket, id, true);
        sendNow(m_socket, allowed ? "200" : "400", true);
        sendNow(m_socket, allowed ? "OK" : "unknown client key", true);
        sendNow(m_socket, "", true);
        sendNow(m_socket, "");
    }
}

bool key_gate::isAllowed(std::size_t count) const
{
    return count == requestFrames && textOf(m_frames[mechanismFrame]) == "CURVE"
           && m_allowed.contains(textOf(m_frames[keyFrame]));
}

} // namespace comfreypass::transport
