#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace comfreypass::tests {

/** A TCP socket on loopback that sends any bytes and shuts down as told. Never blocks. */
class raw_socket
{
public:
    /** Connects to a port. */
    explicit raw_socket(std::uint16_t port);
    /** Takes over an accepted descriptor. */
    static raw_socket adopt(int descriptor);
    ~raw_socket();
    raw_socket(raw_socket &&other) noexcept;
    raw_socket(const raw_socket &) = delete;
    raw_socket &operator=(const raw_socket &) = delete;

    /** Sends what the system takes at once and returns the number of bytes. */
    std::size_t send(std::string_view bytes);

    /** Reads what has arrived. */
    const std::string &receive();

    /** True once `receive` has seen the end of the stream or a reset. */
    bool ended() const { return m_ended; }

    void closeSending();
    void close();

private:
    raw_socket() = default;

    int m_descriptor = -1;
    std::string m_received;
    bool m_ended = false;
};

} // namespace comfreypass::tests
