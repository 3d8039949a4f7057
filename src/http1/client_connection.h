#pragma once

#include "core/time_point.h"
#include "http1/byte_stream.h"
#include "http1/message_parser.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace comfreypass::http1 {

/** Why an exchange ended without a complete response. */
enum class exchange_failure : std::uint8_t {
    /** The connection was never established; no byte of the request was sent. */
    ConnectFailed,
    /** The connection ended before the first byte of the response. */
    NoResponse,
    /** The connection ended or was reset in the middle of the response. */
    Incomplete,
    /** The received bytes are not a valid HTTP response. */
    Malformed,
    /** A response arrived that cannot be attributed to the request. */
    Unattributed,
};

/** Returns the stable lower-case name used in logs and metrics. Thread-safe. */
std::string_view toString(exchange_failure failure) noexcept;

/** How to proceed with a response after its header was read. */
enum class head_decision : std::uint8_t {
    Accept,
    /** The response belongs to an earlier request: discard it and wait for the next one. */
    Skip,
    /** The response cannot be attributed to any request: close the connection. */
    Reject,
};

/** Receives the events of one request on a client_connection. */
class client_events
{
public:
    client_events() = default;
    virtual ~client_events() = default;
    client_events(const client_events &) = delete;
    client_events &operator=(const client_events &) = delete;

    /** An interim response (1xx) arrived; the final one follows. */
    virtual void onInterimHead(const message_head &head) = 0;

    virtual head_decision onHead(const message_head &head) = 0;
    virtual void onBody(std::string_view bytes) = 0;

    /** The response is complete. `reusable` is false if the connection must not be used again. */
    virtual void onComplete(bool reusable) = 0;

    /** The exchange ended without a complete response; the connection is closed. No event follows.
     */
    virtual void onFailed(exchange_failure failure) = 0;
};

/**
 * The client side of an HTTP/1.1 connection, with one request at a time. Not thread-safe.
 *
 * A connection must not be destroyed within an event; see deferred_deleter.
 */
class client_connection final : public stream_events
{
public:
    /** Starts to connect. The reactor must outlive the connection. */
    client_connection(ACE_Reactor &reactor, const endpoint &target);

    /**
     * Sends a request as soon as the connection is established. `events` must live until the last
     * event of the request. `rest` is sent after `request` without a copy, if it is not null.
     * Precondition: no request is running, and usable().
     */
    void start(std::string_view request, client_events &events,
               std::shared_ptr<const std::string> rest = nullptr);

    /**
     * Closes the connection; no event follows. If a request is unanswered, the connection is reset:
     * bytes that the engine's machine has not received yet are never delivered, and the engine
     * learns of it as soon as the reset arrives.
     */
    void cancel() noexcept;

    /**
     * Closes the connection; no event follows. A request that the kernel has accepted whole is
     * still delivered and may run; any other one is reset as by cancel().
     */
    void closeAfterRequest() noexcept;

    /** Pauses or resumes reading; while paused, TCP flow control slows the upstream down. */
    void setReading(bool reading) { m_stream.setReading(reading); }

    /**
     * Returns true if no request is running and the connection is open, without unexpected input.
     */
    bool usable() const noexcept;

    bool connected() const noexcept { return m_stream.connected(); }

private:
    void onInput() override;
    void onEnd(stream_end end) override;

    void readResponse();
    bool reportHead();
    void finish();
    void fail(exchange_failure failure);

    client_events *m_events = nullptr;
    std::optional<message_parser> m_parser;
    bool m_isHeadRequest = false;
    bool m_headReported = false;
    bool m_skipping = false;
    std::size_t m_skippedBytes = 0;
    bool m_unusable = false;
    byte_stream m_stream;
};

} // namespace comfreypass::http1
