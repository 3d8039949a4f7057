#pragma once

#include "support/raw_socket.h"

#include <cstdint>

namespace comfreypass::tests {

/** A listening TCP socket on a free loopback port, for upstreams that send arbitrary bytes. */
class listening_socket
{
public:
    listening_socket();
    ~listening_socket();
    listening_socket(const listening_socket &) = delete;
    listening_socket &operator=(const listening_socket &) = delete;

    std::uint16_t port() const { return m_port; }

    /** Limits the bytes that each connection accepted later keeps unread, for a full send buffer.
     */
    void limitReceiveBuffer(int bytes);

    /** Returns whether a connection is ready to be accepted. */
    bool pending() const;

    /** Accepts a connection; blocks until there is one. */
    raw_socket accept();

private:
    int m_descriptor;
    std::uint16_t m_port = 0;
};

} // namespace comfreypass::tests
