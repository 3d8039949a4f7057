#pragma once

#include "core/result.h"
#include "http1/endpoint.h"
#include "http1/socket_handle.h"

#include <ace/Event_Handler.h>
#include <ace/Reactor.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace comfreypass::http1 {

/** How a connection ended. */
enum class stream_end : std::uint8_t {
    /** The peer closed its sending side; all its bytes were read. */
    Closed,
    /** The connection was reset or timed out in the kernel. */
    Reset,
    /** The connection was never established. */
    ConnectFailed,
};

/** Receives the events of a byte_stream; may drop the channel through deferred deletion only. */
class stream_events
{
public:
    stream_events() = default;
    virtual ~stream_events() = default;
    stream_events(const stream_events &) = delete;
    stream_events &operator=(const stream_events &) = delete;

    /** An outgoing connection is established. */
    virtual void onConnected() { }

    /** More bytes are in byte_stream::input(). */
    virtual void onInput() = 0;

    /** All bytes given to send() have been taken by the kernel. */
    virtual void onSent() { }

    /** The last event of the channel. */
    virtual void onEnd(stream_end end) = 0;
};

/**
 * A TCP connection on a reactor, with a buffer in each direction. Not thread-safe.
 *
 * A channel must not be destroyed within one of its events; see deferred_deleter.
 */
class byte_stream : private ACE_Event_Handler
{
public:
    /** Adopts an accepted connection. Reactor and events must outlive the channel. */
    byte_stream(ACE_Reactor &reactor, socket_handle connection, stream_events &events);

    /** Starts to connect; onConnected or onEnd(ConnectFailed) follows from the reactor. */
    byte_stream(ACE_Reactor &reactor, const endpoint &target, stream_events &events);
    ~byte_stream() override;
    byte_stream(const byte_stream &) = delete;
    byte_stream &operator=(const byte_stream &) = delete;

    /** Appends to the output and sends as much as the kernel takes. No effect once closed. */
    void send(std::string_view bytes);

    /** Bytes received and not consumed. The view is valid until the next event or consume(). */
    std::string_view input() const noexcept { return std::string_view(m_input).substr(m_consumed); }

    /** Drops bytes from the front of input(). Precondition: count <= input().size(). */
    void consume(std::size_t count);

    /** Bytes given to send() that the kernel has not taken. */
    std::size_t unsentBytes() const noexcept { return m_output.size() - m_sent; }

    /** Stops reading while false, so that the peer is slowed down. */
    void setReading(bool reading);

    /** Sends FIN after the output; reading goes on until the peer closes. */
    void closeSending();

    /** Closes at once; no event follows. */
    void close() noexcept;

    /** Closes at once with a reset, so that the peer cannot take the stream for complete. */
    void abort() noexcept;

    bool isOpen() const noexcept { return m_socket.valid(); }
    bool connected() const noexcept { return m_connected; }

private:
    ACE_HANDLE get_handle() const override { return m_socket.get(); }
    int handle_input(ACE_HANDLE descriptor) override;
    int handle_output(ACE_HANDLE descriptor) override;

    void finishConnect();
    void flush();
    void closeAndReport(stream_end reason);
    void updateMask();

    ACE_Reactor &m_reactor;
    stream_events &m_events;
    socket_handle m_socket;
    std::string m_input;
    std::size_t m_consumed = 0;
    std::string m_output;
    std::size_t m_sent = 0;
    ACE_Reactor_Mask m_mask = ACE_Event_Handler::NULL_MASK;
    bool m_connected = false;
    bool m_reading = true;
    bool m_closeAfterOutput = false;
};

} // namespace comfreypass::http1
