#pragma once

#include "core/time_point.h"
#include "http1/byte_stream.h"
#include "http1/memory_reservation.h"
#include "http1/message_parser.h"
#include "http1/server_limits.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace comfreypass::http1 {

class server_connection;

/** Receives the events of a server_connection. */
class server_events
{
public:
    server_events() = default;
    virtual ~server_events() = default;
    server_events(const server_events &) = delete;
    server_events &operator=(const server_events &) = delete;

    /** A complete request was read. The connection reads no other until it is responded to. */
    virtual void onRequest(server_connection &connection, message_head head, std::string body) = 0;

    /** The caller closed the connection while the response was pending. */
    virtual void onCallerDisconnected(server_connection &connection) = 0;

    /** All output passed to the connection is in the kernel's send buffer. */
    virtual void onOutputSent(server_connection &connection) = 0;

    /** The connection has ended and may be passed to a deferred_deleter. */
    virtual void onClosed(server_connection &connection) = 0;
};

/**
 * The server side of an HTTP/1.1 connection, with one request at a time. Requests are buffered
 * completely before they are delivered, so that a truncated request never reaches an upstream.
 * Not thread-safe.
 */
class server_connection final : public stream_events
{
public:
    using clock_function = std::function<core::time_point()>;

    /**
     * Reactor, limits, memory and events must outlive the connection. `address` is the IPv4 address
     * of the caller, whose share of the memory the connection uses. Limits may change during its
     * life; lower ones apply to requests and idle periods that begin afterwards, since the caller
     * relies on the limits that it knows.
     */
    server_connection(ACE_Reactor &reactor, socket_handle connection, const server_limits &limits,
                      memory_budget &memory, std::uint32_t address, clock_function clock,
                      server_events &events);

    /**
     * Sends a complete response; the body is left out if the request is HEAD. `headers` may then
     * contain the Content-Length of a body that the caller of this function does not have.
     * Precondition: responsePending().
     */
    void respond(unsigned status, const transport::http_headers &headers, std::string_view body);

    /**
     * Starts a response of unknown length: in chunks, or until the end of the connection if the
     * caller does not understand chunks. Precondition: responsePending().
     */
    void beginStream(unsigned status, const transport::http_headers &headers);

    /** Sends a part of the body. Precondition: beginStream was called. */
    void write(std::string_view bytes);

    /** Ends the response. Precondition: beginStream was called. */
    void finishStream();

    /** Resets the connection, so that the caller cannot mistake a partial response for complete. */
    void abort();

    /**
     * Closes the connection once the output so far is sent, without the final chunk, so that the
     * caller sees a partial response. Precondition: beginStream was called.
     */
    void endIncomplete();

    /**
     * Closes the connection after the first response whose header can announce it: the current
     * one, or the next one if the current response has begun.
     */
    void closeAfterResponse() noexcept { m_closeAfterResponse = true; }

    /**
     * Closes the connection, or responds 408, if it was idle, slow or closing for too long. The
     * read timeout limits the time for a whole header, and each pause within a body. A response
     * that is still being sent has no timeout here; the kernel ends it if the caller stops reading.
     */
    void checkTimeouts(core::time_point now);

    /** Closes the connection if it was refused or answered for the last time. */
    bool closeIfLingering();

    /** Closes the connection if it is idle(). */
    void closeIfIdle();

    /** Returns true between onRequest and the end of the response. */
    bool responsePending() const noexcept { return m_responsePending; }

    /** Returns true if no request is partly read, and no response is pending or partly sent. */
    bool idle() const noexcept;

    /** Returns when the connection was last used. Precondition: idle(). */
    core::time_point idleSince() const noexcept { return m_lastActivity; }

    /** Returns the number of response bytes that the kernel has not accepted yet. */
    std::size_t unsentBytes() const noexcept { return m_stream.unsentBytes(); }

private:
    void onInput() override;
    void onSent() override;
    void onEnd(stream_end end) override;

    void readRequest();
    void rejectRequest(unsigned status, std::string_view reason);
    void respondAndClose(unsigned status, const transport::http_headers &headers,
                         std::string_view body);
    std::string buildResponseHead(unsigned status, const transport::http_headers &headers);
    void finishResponse();
    void closeNow();
    void beginRequest();
    void appendBody(std::string_view bytes);
    bool reserveBody(std::size_t bytes);
    bool reserveHead();
    void dropBody() noexcept;
    std::size_t heldBytes() const noexcept;
    void updateMemory();
    void releaseMemory();
    void refuseRequest();

    const server_limits &m_limits;
    /** The limits at the start of the current request. */
    server_limits m_requestLimits;
    clock_function m_clock;
    server_events &m_events;
    std::optional<message_parser> m_parser;
    std::string m_body;
    /** Memory of the body that is being received, or was passed on for the pending response. */
    std::size_t m_bodyMemory = 0;
    /** Memory of the parsed header of the current request. */
    std::size_t m_headMemory = 0;
    bool m_bodyTooLarge = false;
    bool m_memoryRefused = false;
    /** Buffered bytes that had been sent at the last check, and when more were seen to be. */
    std::uint64_t m_lastFlushedBytes = 0;
    core::time_point m_lastSentAt;
    core::time_point m_lastActivity;
    core::time_point m_requestStartedAt;
    /** The limit at the start of the current idle period. */
    core::duration m_idleTimeout;
    bool m_responsePending = false;
    bool m_isHeadRequest = false;
    /** The caller understands chunks. */
    bool m_acceptsChunks = true;
    bool m_keepAlive = true;
    bool m_closeAfterResponse = false;
    /** Whether the header of the current response contains `Connection: close`. */
    bool m_closeAnnounced = false;
    bool m_closing = false;
    bool m_closed = false;
    bool m_reading = false;
    memory_budget &m_budget;
    memory_reservation m_memory;
    byte_stream m_stream;
};

} // namespace comfreypass::http1
