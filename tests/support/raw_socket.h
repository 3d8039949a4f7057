#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace comfreypass::tests {

/** A non-blocking TCP socket on loopback that sends arbitrary bytes and shuts down on request. */
class raw_socket
{
public:
    /** Connects to a loopback port; only the connection setup blocks. */
    explicit raw_socket(std::uint16_t port);
    /** Returns a socket that owns an accepted descriptor. */
    static raw_socket adopt(int descriptor);
    ~raw_socket();
    raw_socket(raw_socket &&other) noexcept;
    raw_socket(const raw_socket &) = delete;
    raw_socket &operator=(const raw_socket &) = delete;

    /** Sends as many bytes as the socket buffer accepts and returns their number. */
    std::size_t send(std::string_view bytes);

    /**
     * Reads the available bytes, but none after at least `maxBytes`, and returns everything
     * received so far.
     */
    const std::string &receive(std::size_t maxBytes = std::string::npos);

    /** Returns whether `receive` has seen the end of the stream or an error such as a reset. */
    bool ended() const { return m_ended; }

    /** Returns whether `receive` has seen a reset. */
    bool wasReset() const { return m_reset; }

    void closeSending();
    void close();

    /** Closes the connection with a reset. */
    void reset();

private:
    raw_socket() = default;

    int m_descriptor = -1;
    std::string m_received;
    bool m_ended = false;
    bool m_reset = false;
};

} // namespace comfreypass::tests
