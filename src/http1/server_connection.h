#pragma once

#include "core/time_point.h"
#include "http1/byte_stream.h"
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

/** Receives the requests of a connection. */
class server_events
{
public:
    server_events() = default;
    virtual ~server_events() = default;
    server_events(const server_events &) = delete;
    server_events &operator=(const server_events &) = delete;

    /** A whole request was read. The connection waits until it is answered or aborted. */
    virtual void onRequest(server_connection &connection, message_head head, std::string body) = 0;

    /** The caller closed the connection while its request is unanswered. */
    virtual void onCallerGone(server_connection &connection) = 0;

    /** The connection has ended and may be given to a deferred_deleter. */
    virtual void onClosed(server_connection &connection) = 0;
};

/**
 * The server side of one HTTP/1.1 connection: one request at a time, read whole before it is handed
 * on, so that a request that is cut while it is read never reaches an upstream. Not thread-safe.
 */
class server_connection final : public stream_events
{
public:
    using clock_function = std::function<core::time_point()>;

    /** Reactor, limits and events must outlive the connection. Limits may change at any time. */
    server_connection(ACE_Reactor &reactor, socket_handle connection, const server_limits &limits,
                      clock_function clock, server_events &events);

    /** Answers with a body of known size. Precondition: a request is unanswered. */
    void respond(unsigned status, const transport::http_headers &headers, std::string_view body);

    /** Starts an answer of unknown size. Precondition: a request is unanswered. */
    void beginStream(unsigned status, const transport::http_headers &headers);

    /** Appends to the stream. Precondition: beginStream was called. */
    void write(std::string_view bytes);

    /** Ends the stream as complete. Precondition: beginStream was called. */
    void finishStream();

    /** Closes the connection so that an answer that was begun cannot pass for complete. */
    void abort();

    /** The answers from now on end their connection. */
    void closeAfterAnswer() noexcept { m_closeAfterResponse = true; }

    /** Ends the connection if it has been idle, slow or closing for too long. */
    void checkTimeouts(core::time_point now);

    /** Closes the connection if no request is being read or answered. */
    void closeIfIdle();

    /** True between onRequest and the end of the answer. */
    bool responsePending() const noexcept { return m_responsePending; }

    /** True if no byte of a request is waiting and none is being answered. */
    bool idle() const noexcept;

    /** Bytes of answers that the caller has not taken yet. */
    std::size_t unsentBytes() const noexcept { return m_stream.unsentBytes(); }

private:
    void onInput() override;
    void onEnd(stream_end end) override;

    void readRequest();
    void rejectRequest(unsigned status, std::string_view reason);
    std::string buildResponseHead(unsigned status, const transport::http_headers &headers);
    void finishResponse();
    void closeNow();
    void beginRequest();

    const server_limits &m_limits;
    clock_function m_clock;
    server_events &m_events;
    std::optional<message_parser> m_parser;
    std::string m_body;
    core::time_point m_lastActivity;
    bool m_responsePending = false;
    bool m_keepAlive = true;
    bool m_closeAfterResponse = false;
    bool m_closing = false;
    bool m_closed = false;
    bool m_reading = false;
    byte_stream m_stream;
};

} // namespace comfreypass::http1
