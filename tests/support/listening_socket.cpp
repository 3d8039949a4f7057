#include "support/listening_socket.h"

#include <arpa/inet.h>
#include <cppunit/TestAssert.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace comfreypass::tests {

listening_socket::listening_socket() : m_descriptor(::socket(AF_INET, SOCK_STREAM, 0))
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto *socketAddress = reinterpret_cast<sockaddr *>(&address);
    CPPUNIT_ASSERT_EQUAL(0, ::bind(m_descriptor, socketAddress, size));
    CPPUNIT_ASSERT_EQUAL(0, ::listen(m_descriptor, SOMAXCONN));
    CPPUNIT_ASSERT_EQUAL(0, ::getsockname(m_descriptor, socketAddress, &size));
    m_port = ntohs(address.sin_port);
}

listening_socket::~listening_socket()
{
    ::close(m_descriptor);
}

void listening_socket::limitReceiveBuffer(int bytes)
{
    CPPUNIT_ASSERT_EQUAL(0,
                         ::setsockopt(m_descriptor, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes)));
}

bool listening_socket::pending() const
{
    pollfd pollEntry{m_descriptor, POLLIN, 0};
    return ::poll(&pollEntry, 1, 0) > 0;
}

raw_socket listening_socket::accept()
{
    return raw_socket::adopt(::accept4(m_descriptor, nullptr, nullptr, SOCK_CLOEXEC));
}

} // namespace comfreypass::tests
