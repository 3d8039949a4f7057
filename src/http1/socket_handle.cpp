#include "http1/socket_handle.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <utility>

namespace comfreypass::http1 {

socket_handle::~socket_handle()
{
    reset();
}

socket_handle::socket_handle(socket_handle &&other) noexcept
    : m_descriptor(std::exchange(other.m_descriptor, -1))
{ }

socket_handle &socket_handle::operator=(socket_handle &&other) noexcept
{
    if (this != &other) {
        reset();
        m_descriptor = std::exchange(other.m_descriptor, -1);
    }
    return *this;
}

void socket_handle::reset() noexcept
{
    if (m_descriptor >= 0)
        ::close(std::exchange(m_descriptor, -1));
}

std::uint32_t peerAddress(const socket_handle &socket) noexcept
{
    sockaddr_in peer{};
    socklen_t size = sizeof peer;
    if (::getpeername(socket.get(), reinterpret_cast<sockaddr *>(&peer), &size) != 0)
        return 0;
    return ntohl(peer.sin_addr.s_addr);
}

} // namespace comfreypass::http1
