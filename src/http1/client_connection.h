#pragma once

#include "core/time_point.h"
#include "http1/byte_stream.h"
#include "http1/message_parser.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace comfreypass::http1 {

/** Why a response did not arrive whole. */
enum class exchange_failure : std::uint8_t {
    /** The connection was never established; no byte of the request was sent. */
    ConnectFailed,
    /** The connection ended before a byte of the response. */
    NoResponse,
    /** The connection ended or was reset within the response. */
    Incomplete,
    /** The bytes are no HTTP response. */
    Malformed,
};

/** Stable lower-case word, for logs and metrics. Thread-safe. */
std::string_view toString(exchange_failure failure) noexcept;

/** What to do with a response whose header was read. */
enum class head_decision : std::uint8_t {
    Accept,
    /** The response belongs to an earlier request: drop it and wait for the next one. */
    Skip,
};

/** Receives the events of one request on a client_connection. */
class client_events
{
public:
    client_events() = default;
    virtual ~client_events() = default;
    client_events(const client_events &) = delete;
    client_events &operator=(const client_events &) = delete;

    virtual head_decision onHead(const message_head &head) = 0;
    virtual void onBody(std::string_view bytes) = 0;

    /** The response is whole. `reusable` is false if the connection must not serve again. */
    virtual void onComplete(bool reusable) = 0;

    /** The last event of a request that got no whole response; the connection is closed. */
    virtual void onFailed(exchange_failure failure) = 0;
};

/**
 * The client side of one HTTP/1.1 connection: one request at a time. Not thread-safe.
 *
 * A connection must not be destroyed within an event; see deferred_deleter.
 */
class client_connection final : public stream_events
{
public:
    /** Starts to connect. The reactor must outlive the connection. */
    client_connection(ACE_Reactor &reactor, const endpoint &target);

    /**
     * Sends a request as soon as the connection is up. The events must live until the last one.
     * Precondition: no request is running, and usable().
     */
    void start(std::string_view request, client_events &events);

    /** Closes the connection; no event follows. */
    void cancel() noexcept;

    /** True if no request runs and nothing unexpected happened on the connection. */
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
    bool m_headReported = false;
    bool m_skipping = false;
    bool m_unusable = false;
    byte_stream m_stream;
};

} // namespace comfreypass::http1
