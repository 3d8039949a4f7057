#pragma once

#include <cstdint>

namespace comfreypass::http1 {

/** Owns a file descriptor and closes it on destruction. Not thread-safe. */
class socket_handle
{
public:
    socket_handle() = default;
    explicit socket_handle(int descriptor) noexcept : m_descriptor(descriptor) { }
    ~socket_handle();
    socket_handle(socket_handle &&other) noexcept;
    socket_handle &operator=(socket_handle &&other) noexcept;
    socket_handle(const socket_handle &) = delete;
    socket_handle &operator=(const socket_handle &) = delete;

    /** Returns the descriptor, or -1 if there is none. */
    int get() const noexcept { return m_descriptor; }
    bool valid() const noexcept { return m_descriptor >= 0; }

    /** Closes the descriptor. */
    void reset() noexcept;

private:
    int m_descriptor = -1;
};

/** Returns the IPv4 address of the peer in host byte order; 0 if it is unknown. Thread-safe. */
std::uint32_t peerAddress(const socket_handle &socket) noexcept;

} // namespace comfreypass::http1
