#include "support/raw_socket.h"

#include <arpa/inet.h>
#include <cppunit/TestAssert.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <utility>

namespace comfreypass::tests {

raw_socket::raw_socket(std::uint16_t port) : m_descriptor(::socket(AF_INET, SOCK_STREAM, 0))
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    CPPUNIT_ASSERT_EQUAL(
        0, ::connect(m_descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)));
    ::fcntl(m_descriptor, F_SETFL, O_NONBLOCK);
}

raw_socket raw_socket::adopt(int descriptor)
{
    raw_socket adopted;
    adopted.m_descriptor = descriptor;
    ::fcntl(descriptor, F_SETFL, O_NONBLOCK);
    return adopted;
}

raw_socket::~raw_socket()
{
    close();
}

raw_socket::raw_socket(raw_socket &&other) noexcept
    : m_descriptor(std::exchange(other.m_descriptor, -1)), m_received(std::move(other.m_received)),
      m_ended(other.m_ended), m_reset(other.m_reset)
{ }

std::size_t raw_socket::send(std::string_view bytes)
{
    const ssize_t sent = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    return sent < 0 ? 0 : static_cast<std::size_t>(sent);
}

const std::string &raw_socket::receive(std::size_t maxBytes)
{
    std::array<char, 65'536> buffer{};
    const std::size_t before = m_received.size();
    while (!m_ended && m_received.size() - before < maxBytes) {
        const ssize_t count = ::recv(m_descriptor, buffer.data(), buffer.size(), 0);
        if (count > 0)
            m_received.append(buffer.data(), static_cast<std::size_t>(count));
        else if (count < 0 && errno == EAGAIN)
            break;
        else {
            m_ended = true;
            m_reset = count < 0;
        }
    }
    return m_received;
}

void raw_socket::closeSending()
{
    ::shutdown(m_descriptor, SHUT_WR);
}

void raw_socket::close()
{
    if (m_descriptor >= 0)
        ::close(std::exchange(m_descriptor, -1));
}

void raw_socket::reset()
{
    const linger immediate{1, 0};
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &immediate, sizeof immediate);
    close();
}

} // namespace comfreypass::tests
