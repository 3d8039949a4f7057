#include "gateway/udp_socket.h"

#include "transport/callback_guard.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <cstddef>
#include <cstring>
#include <utility>

namespace comfreypass::gateway {

namespace {

/** Upper bound on the size of a UDP datagram. */
constexpr std::size_t maxDatagramBytes = 65'536;

/** Limits the datagrams read per event, so that a burst does not delay open requests. */
constexpr int maxDatagramsPerEvent = 32;

sockaddr_in toSocketAddress(const http1::endpoint &value)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(value.port);
    address.sin_addr.s_addr = htonl(value.address);
    return address;
}

} // namespace

udp_socket::udp_socket(ACE_Reactor &reactor, receive_function received)
    : m_reactor(reactor), m_received(std::move(received))
{ }

udp_socket::~udp_socket()
{
    if (m_socket.valid())
        m_reactor.remove_handler(this,
                                 ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL);
}

core::result<void> udp_socket::open(const http1::endpoint &local)
{
    http1::socket_handle socket(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const sockaddr_in address = toSocketAddress(local);
    if (!socket.valid()
        || ::bind(socket.get(), reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0)
        return core::error{core::errc::Io, local.text(),
                           std::string("UDP bind failed: ") + std::strerror(errno),
                           "check that the address belongs to this instance and the port is free"};
    m_socket = std::move(socket);
    if (m_reactor.register_handler(this, ACE_Event_Handler::READ_MASK) != 0)
        return core::error{core::errc::Io, local.text(), "registration with the reactor failed",
                           ""};
    return boost::outcome_v2::success();
}

void udp_socket::send(const http1::endpoint &target, std::string_view bytes)
{
    const sockaddr_in address = toSocketAddress(target);
    static_cast<void>(::sendto(m_socket.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL,
                               reinterpret_cast<const sockaddr *>(&address), sizeof address));
}

int udp_socket::handle_input(ACE_HANDLE)
{
    static thread_local std::array<char, maxDatagramBytes> buffer;
    for (int i = 0; i < maxDatagramsPerEvent; ++i) {
        sockaddr_in from{};
        socklen_t size = sizeof from;
        const ssize_t count = ::recvfrom(m_socket.get(), buffer.data(), buffer.size(), 0,
                                         reinterpret_cast<sockaddr *>(&from), &size);
        if (count < 0)
            break;
        transport::guarded("datagram", [&] {
            m_received({ntohl(from.sin_addr.s_addr), ntohs(from.sin_port)},
                       std::string_view(buffer.data(), static_cast<std::size_t>(count)));
        });
    }
    return 0;
}

} // namespace comfreypass::gateway
