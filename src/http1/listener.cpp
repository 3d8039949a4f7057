#include "http1/listener.h"

#include "transport/callback_guard.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>
#include <utility>

namespace comfreypass::http1 {

namespace {

/** Length of the accept queue; a full queue drops SYNs and delays callers by seconds. */
constexpr int backlog = 1'024;

/** Limits the connections accepted per event, so that a burst does not delay open requests. */
constexpr int maxAcceptsPerEvent = 16;

core::error ioError(const endpoint &local, const char *action)
{
    return core::error{core::errc::Io, local.text(),
                       std::string(action) + " failed: " + std::strerror(errno),
                       "check that the address belongs to this instance and the port is free"};
}

} // namespace

listener::listener(ACE_Reactor &reactor, accept_function accepted)
    : m_reactor(reactor), m_accepted(std::move(accepted))
{ }

listener::~listener()
{
    stop();
}

core::result<std::uint16_t> listener::listen(const endpoint &local)
{
    socket_handle socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!socket.valid())
        return ioError(local, "socket");
    const int on = 1;
    ::setsockopt(socket.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(local.port);
    address.sin_addr.s_addr = htonl(local.address);
    if (::bind(socket.get(), reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0)
        return ioError(local, "bind");
    if (::listen(socket.get(), backlog) != 0)
        return ioError(local, "listen");
    socklen_t size = sizeof address;
    if (::getsockname(socket.get(), reinterpret_cast<sockaddr *>(&address), &size) != 0)
        return ioError(local, "getsockname");
    m_socket = std::move(socket);
    if (m_reactor.register_handler(this, ACE_Event_Handler::ACCEPT_MASK) != 0)
        return ioError(local, "registration with the reactor");
    return ntohs(address.sin_port);
}

void listener::stop() noexcept
{
    if (!m_socket.valid())
        return;
    m_reactor.remove_handler(this,
                             ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL);
    m_socket.reset();
}

int listener::handle_input(ACE_HANDLE)
{
    for (int i = 0; i < maxAcceptsPerEvent && m_socket.valid(); ++i) {
        socket_handle accepted(
            ::accept4(m_socket.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
        if (!accepted.valid())
            break;
        transport::guarded("accept", [&] { m_accepted(std::move(accepted)); });
    }
    return 0;
}

} // namespace comfreypass::http1
