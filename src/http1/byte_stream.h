#pragma once

#include "core/result.h"
#include "http1/endpoint.h"
#include "http1/socket_handle.h"

#include <ace/Event_Handler.h>
#include <ace/Reactor.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace comfreypass::http1 {

/** How a connection ended. */
enum class stream_end : std::uint8_t {
    /**
     * The peer closed its sending side in order, after it had acknowledged all output; all received
     * bytes have been read.
     */
    Closed,
    /**
     * The peer closed its sending side before it had acknowledged all output. The kernel does so,
     * too, for a process that ends in the middle of its input, and resets the connection later.
     */
    ClosedEarly,
    /** The connection was reset, also after the peer had closed it, or the kernel timed it out. */
    Reset,
    /** The connection was never established. */
    ConnectFailed,
};

/** Receives the events of a byte_stream; may destroy the stream only through a deferred_deleter. */
class stream_events
{
public:
    stream_events() = default;
    virtual ~stream_events() = default;
    stream_events(const stream_events &) = delete;
    stream_events &operator=(const stream_events &) = delete;

    /** Called when an outgoing connection is established. */
    virtual void onConnected() { }

    /** Called after bytes were appended to byte_stream::input(). */
    virtual void onInput() = 0;

    /** Called when all bytes passed to send() are in the kernel's send buffer. */
    virtual void onSent() { }

    /** Called when the connection has ended; no event follows. */
    virtual void onEnd(stream_end end) = 0;
};

/**
 * A TCP connection on a reactor, buffered in both directions. Not thread-safe.
 *
 * A stream must not be destroyed within one of its events; see deferred_deleter.
 */
class byte_stream : private ACE_Event_Handler
{
public:
    /** Takes ownership of an accepted connection. Reactor and events must outlive the stream. */
    byte_stream(ACE_Reactor &reactor, socket_handle connection, stream_events &events);

    /** Starts to connect; the reactor then calls onConnected or onEnd(ConnectFailed). */
    byte_stream(ACE_Reactor &reactor, const endpoint &target, stream_events &events);
    ~byte_stream() override;
    byte_stream(const byte_stream &) = delete;
    byte_stream &operator=(const byte_stream &) = delete;

    /** Sends as much as the kernel accepts and buffers the rest. No effect once closed. */
    void send(std::string_view bytes);

    /** As send, but keeps a reference to the bytes that the kernel does not accept, not a copy. */
    void sendShared(std::shared_ptr<const std::string> bytes);

    /** Returns the unconsumed input. The view is valid until the next event or consume(). */
    std::string_view input() const noexcept { return std::string_view(m_input).substr(m_consumed); }

    /** Removes bytes from the front of input(). Precondition: count <= input().size(). */
    void consume(std::size_t count);

    /** Returns the number of buffered bytes that the kernel has not accepted yet. */
    std::size_t unsentBytes() const noexcept { return m_output.size() - m_sent + sharedBytes(); }

    /** Returns the number of buffered bytes that the kernel has accepted since the start. */
    std::uint64_t flushedBytes() const noexcept { return m_flushedBytes; }

    /** Returns the memory of the buffers, in bytes, without shared bytes. */
    std::size_t bufferBytes() const noexcept { return m_input.capacity() + m_output.capacity(); }

    /** Enables or disables reading; while disabled, TCP flow control slows the peer down. */
    void setReading(bool reading);

    /** Sends FIN after the buffered output; reading continues until the peer closes. */
    void closeSending();

    /** Closes immediately; no event follows. */
    void close() noexcept;

    /** Closes immediately with a reset, so that the peer cannot mistake the data for complete. */
    void abort() noexcept;

    bool isOpen() const noexcept { return m_socket.valid(); }
    bool connected() const noexcept { return m_connected; }

private:
    ACE_HANDLE get_handle() const override { return m_socket.get(); }
    int handle_input(ACE_HANDLE descriptor) override;
    int handle_output(ACE_HANDLE descriptor) override;

    void finishConnect();
    void flush();
    std::string_view nextOutput() const noexcept;
    std::size_t sharedBytes() const noexcept
    {
        return m_shared ? m_shared->size() - m_sharedSent : 0;
    }
    void onBytesSent(std::size_t count);
    void onSendError(int error);
    stream_end endOfInput() const;
    void closeAndReport(stream_end reason);
    void updateMask();

    ACE_Reactor &m_reactor;
    stream_events &m_events;
    socket_handle m_socket;
    std::string m_input;
    std::size_t m_consumed = 0;
    std::string m_output;
    std::size_t m_sent = 0;
    /** Output after m_output. */
    std::shared_ptr<const std::string> m_shared;
    std::size_t m_sharedSent = 0;
    std::uint64_t m_flushedBytes = 0;
    /** The first error of a send, which the kernel does not report again; 0 if none failed. */
    int m_sendError = 0;
    ACE_Reactor_Mask m_mask = ACE_Event_Handler::NULL_MASK;
    bool m_connected = false;
    bool m_reading = true;
    bool m_closeAfterOutput = false;
};

} // namespace comfreypass::http1
