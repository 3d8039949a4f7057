#include "http1/server_connection.h"

#include "http1/forwarded_headers.h"

#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <utility>

namespace comfreypass::http1 {

namespace {

/** Time for the caller to read the last response and close the connection. */
constexpr auto lingerTimeout = std::chrono::seconds(2);

/** Reading stops once a caller has pipelined more than this while a response is pending. */
constexpr std::size_t maxPipelinedBytes = 65'536;

constexpr unsigned badRequest = 400;
constexpr unsigned requestTimeout = 408;
constexpr unsigned bodyTooLarge = 413;
constexpr unsigned headerTooLarge = 431;
constexpr unsigned noContent = 204;
constexpr unsigned notModified = 304;

std::string_view reasonOf(unsigned status)
{
    const auto text
        = boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(status));
    return {text.data(), text.size()};
}

} // namespace

server_connection::server_connection(ACE_Reactor &reactor, socket_handle connection,
                                     const server_limits &limits, clock_function clock,
                                     server_events &events)
    : m_limits(limits), m_clock(std::move(clock)), m_events(events), m_lastActivity(m_clock()),
      m_idleTimeout(limits.idleTimeout), m_stream(reactor, std::move(connection), *this)
{ }

void server_connection::respond(unsigned status, const transport::http_headers &headers,
                                std::string_view body)
{
    std::string response = buildResponseHead(status, headers);
    const bool hasNoBody = status == noContent || status == notModified;
    if (!hasNoBody && !(m_isHeadRequest && body.empty()))
        appendField(response, "Content-Length", std::to_string(body.size()));
    response.append("\r\n");
    if (!m_isHeadRequest)
        response.append(body);
    m_stream.send(response);
    finishResponse();
}

void server_connection::beginStream(unsigned status, const transport::http_headers &headers)
{
    m_keepAlive = m_keepAlive && m_acceptsChunks;
    std::string response = buildResponseHead(status, headers);
    if (m_acceptsChunks)
        appendField(response, "Transfer-Encoding", "chunked");
    response.append("\r\n");
    m_stream.send(response);
}

void server_connection::write(std::string_view bytes)
{
    if (bytes.empty() || m_isHeadRequest)
        return;
    if (!m_acceptsChunks) {
        m_stream.send(bytes);
        return;
    }
    std::array<char, 2 * sizeof(std::size_t)> digits{};
    const auto end
        = std::to_chars(digits.data(), digits.data() + digits.size(), bytes.size(), 16).ptr;
    std::string chunk;
    chunk.reserve(bytes.size() + digits.size() + 4);
    chunk.append(digits.data(), end).append("\r\n").append(bytes).append("\r\n");
    m_stream.send(chunk);
}

void server_connection::finishStream()
{
    if (m_acceptsChunks && !m_isHeadRequest)
        m_stream.send("0\r\n\r\n");
    finishResponse();
}

void server_connection::abort()
{
    m_responsePending = false;
    m_stream.abort();
    closeNow();
}

void server_connection::endIncomplete()
{
    m_closeAnnounced = true;
    finishResponse();
}

void server_connection::checkTimeouts(core::time_point now)
{
    if (m_responsePending || m_closed || unsentBytes() > 0)
        return;
    const core::duration inactivity = now - m_lastActivity;
    if (m_closing) {
        if (inactivity > lingerTimeout)
            closeNow();
        return;
    }
    if (idle()) {
        if (inactivity > std::max(m_idleTimeout, m_limits.idleTimeout))
            closeNow();
        return;
    }
    const bool headerTooSlow
        = !m_parser->hasHead() && now - m_requestStartedAt > m_requestLimits.readTimeout;
    if (headerTooSlow || inactivity > m_requestLimits.readTimeout)
        rejectRequest(requestTimeout, "the request took too long to arrive");
}

void server_connection::closeIfIdle()
{
    if (idle() && !m_closing)
        closeNow();
}

bool server_connection::idle() const noexcept
{
    return !m_responsePending && !m_parser && m_stream.input().empty() && unsentBytes() == 0;
}

void server_connection::onInput()
{
    if (m_closing) {
        m_stream.consume(m_stream.input().size());
        return;
    }
    if (m_responsePending) {
        if (m_stream.input().size() > maxPipelinedBytes)
            m_stream.setReading(false);
        return;
    }
    readRequest();
}

void server_connection::readRequest()
{
    // An immediate response reenters this function through finishResponse.
    if (m_reading)
        return;
    m_reading = true;
    while (!m_responsePending && !m_closing && m_stream.isOpen() && !m_stream.input().empty()) {
        beginRequest();
        const core::result<std::size_t> consumed = m_parser->parse(m_stream.input());
        if (!consumed) {
            const bool tooLarge = consumed.error().code == core::errc::TooLarge;
            rejectRequest(tooLarge ? headerTooLarge : badRequest, consumed.error().detail);
            break;
        }
        m_stream.consume(consumed.value());
        m_lastActivity = m_clock();
        const bool hasHead = m_parser->hasHead();
        const std::uint64_t announced
            = hasHead ? m_parser->head().contentLength.value_or(0) : std::uint64_t{0};
        if (announced > m_requestLimits.bodyBytes || m_body.size() > m_requestLimits.bodyBytes) {
            rejectRequest(bodyTooLarge, "the body is larger than the limit");
            break;
        }
        if (!m_parser->complete()) {
            // The parser leaves only an incomplete header, chunk header or trailer unconsumed.
            if (m_stream.input().size() > m_requestLimits.headerBytes)
                rejectRequest(headerTooLarge, "a header, chunk header or trailer is too long");
            break;
        }
        message_head head = m_parser->head();
        m_parser.reset();
        m_keepAlive = head.keepAlive;
        m_isHeadRequest = head.method == "HEAD";
        m_acceptsChunks = head.isHttp11;
        m_responsePending = true;
        m_events.onRequest(*this, std::move(head), std::exchange(m_body, {}));
    }
    m_reading = false;
}

void server_connection::beginRequest()
{
    if (m_parser)
        return;
    m_body.clear();
    m_requestStartedAt = m_clock();
    m_requestLimits = m_limits;
    m_parser.emplace(message_kind::Request, m_limits.headerBytes, [this](std::string_view bytes) {
        if (m_body.size() <= m_requestLimits.bodyBytes)
            m_body.append(bytes);
    });
}

void server_connection::rejectRequest(unsigned status, std::string_view reason)
{
    m_parser.reset();
    m_responsePending = true;
    m_isHeadRequest = false;
    m_keepAlive = false;
    respond(status, {{"Content-Type", "text/plain"}}, std::string(reason) + "\n");
}

std::string server_connection::buildResponseHead(unsigned status,
                                                 const transport::http_headers &headers)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
    text.append(reasonOf(status)).append("\r\n");
    for (const auto &[name, value] : headers)
        appendField(text, name, value);
    m_closeAnnounced = !m_keepAlive || m_closeAfterResponse;
    if (m_closeAnnounced)
        appendField(text, "Connection", "close");
    return text;
}

void server_connection::finishResponse()
{
    m_responsePending = false;
    m_lastActivity = m_clock();
    m_idleTimeout = m_limits.idleTimeout;
    if (!m_stream.isOpen()) {
        closeNow();
        return;
    }
    // Without the announcement, the caller may have sent its next request.
    if (m_closeAnnounced) {
        m_closing = true;
        m_stream.setReading(true);
        m_stream.closeSending();
        return;
    }
    m_stream.setReading(true);
    readRequest();
}

void server_connection::onSent()
{
    if (m_closed)
        return;
    if (!m_responsePending)
        m_lastActivity = m_clock();
    m_events.onOutputSent(*this);
}

void server_connection::onEnd(stream_end /*end*/)
{
    if (std::exchange(m_responsePending, false))
        m_events.onCallerDisconnected(*this);
    closeNow();
}

void server_connection::closeNow()
{
    if (std::exchange(m_closed, true))
        return;
    m_stream.close();
    m_events.onClosed(*this);
}

} // namespace comfreypass::http1
