#include "http1/server_connection.h"

#include "http1/forwarded_headers.h"

#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <iterator>
#include <utility>

namespace comfreypass::http1 {

namespace {

/** Time for the caller to read the last response and close the connection. */
constexpr auto lingerTimeout = std::chrono::seconds(2);

/** Reading stops once a caller has pipelined more than this while a response is pending. */
constexpr std::size_t maxPipelinedBytes = 65'536;

/** Memory of a connection without buffers, and of a header field besides its share of the head. */
constexpr std::size_t connectionBytes = 4'096;
constexpr std::size_t headerFieldBytes = 192;

/** First capacity of a body of unknown length. */
constexpr std::size_t minBodyCapacity = 4'096;

/** Refused callers return after 0.5 to 1.4 s, spread so that they do not return together. */
constexpr std::uint64_t retryAfterSteps = 10;

constexpr unsigned badRequest = 400;
constexpr unsigned requestTimeout = 408;
constexpr unsigned bodyTooLarge = 413;
constexpr unsigned headerTooLarge = 431;
constexpr unsigned unavailable = 503;
constexpr unsigned noContent = 204;
constexpr unsigned notModified = 304;

std::string_view reasonOf(unsigned status)
{
    const auto text
        = boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(status));
    return {text.data(), text.size()};
}

/**
 * Returns the smallest of limit, limit / 2, limit / 4 and so on that holds `size` bytes. A string
 * at least doubles when it grows, so that other steps could end far above the limit.
 */
std::size_t grownCapacity(std::size_t size, std::size_t limit)
{
    std::size_t capacity = limit;
    while (capacity / 2 >= size && capacity / 2 >= minBodyCapacity)
        capacity /= 2;
    return capacity;
}

std::string retryAfterText(const memory_budget &budget)
{
    const auto &counts = budget.counts();
    const std::uint64_t tenths
        = 5 + (counts.refusedByLimit + counts.refusedByShare + counts.reclaimed) % retryAfterSteps;
    return std::to_string(tenths / 10) + "." + std::to_string(tenths % 10);
}

} // namespace

server_connection::server_connection(ACE_Reactor &reactor, socket_handle connection,
                                     const server_limits &limits, memory_budget &memory,
                                     std::uint32_t address, clock_function clock,
                                     server_events &events)
    : m_limits(limits), m_clock(std::move(clock)), m_events(events), m_lastActivity(m_clock()),
      m_idleTimeout(limits.idleTimeout), m_budget(memory),
      m_memory(memory, address, [this] { releaseMemory(); }),
      m_stream(reactor, std::move(connection), *this)
{
    updateMemory();
}

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
    updateMemory();
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
    if (m_closed)
        return;
    const std::uint64_t flushed = m_stream.flushedBytes();
    if (unsentBytes() == 0 || flushed != m_lastFlushedBytes)
        m_lastSentAt = now;
    m_lastFlushedBytes = flushed;
    updateMemory();
    if (m_responsePending || unsentBytes() > 0)
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

bool server_connection::closeIfLingering()
{
    if (!m_closing || m_closed || unsentBytes() > 0)
        return false;
    closeNow();
    return true;
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
        updateMemory();
        return;
    }
    if (m_responsePending) {
        updateMemory();
        if (m_stream.input().size() > maxPipelinedBytes
            || m_budget.usedBytes() > m_budget.largeLimitBytes())
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
        const bool hasHead = m_parser->hasHead();
        const std::uint64_t announced
            = hasHead ? m_parser->head().contentLength.value_or(0) : std::uint64_t{0};
        if (announced > m_requestLimits.bodyBytes || m_bodyTooLarge) {
            rejectRequest(bodyTooLarge, "the body is larger than the limit");
            break;
        }
        if (m_memoryRefused || (hasHead && !(reserveHead() && reserveBody(announced)))) {
            refuseRequest();
            break;
        }
        m_lastActivity = m_clock();
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
        updateMemory();
        m_events.onRequest(*this, std::move(head), std::exchange(m_body, {}));
    }
    m_reading = false;
    updateMemory();
}

void server_connection::beginRequest()
{
    if (m_parser)
        return;
    dropBody();
    m_headMemory = 0;
    m_bodyTooLarge = false;
    m_memoryRefused = false;
    m_requestStartedAt = m_clock();
    m_requestLimits = m_limits;
    m_parser.emplace(message_kind::Request, m_limits.headerBytes,
                     [this](std::string_view bytes) { appendBody(bytes); });
}

void server_connection::appendBody(std::string_view bytes)
{
    if (m_bodyTooLarge || m_memoryRefused)
        return;
    const std::size_t size = m_body.size() + bytes.size();
    if (size > m_requestLimits.bodyBytes) {
        m_bodyTooLarge = true;
        dropBody();
        return;
    }
    if (size > m_body.capacity()) {
        const std::uint64_t announced = m_parser->head().contentLength.value_or(0);
        if (announced > m_requestLimits.bodyBytes)
            return;
        const std::size_t grown = announced > 0 ? static_cast<std::size_t>(announced)
                                                : grownCapacity(size, m_requestLimits.bodyBytes);
        if (!reserveBody(std::max(size, grown)))
            return;
    }
    m_body.append(bytes);
}

// Reserves before the memory is used, so that a body without room is refused with its header.
bool server_connection::reserveBody(std::size_t bytes)
{
    if (bytes <= m_body.capacity())
        return true;
    const std::size_t others = heldBytes() - m_bodyMemory;
    if (!m_memory.tryResize(others + bytes, m_clock())) {
        m_memoryRefused = true;
        dropBody();
        return false;
    }
    m_body.reserve(bytes);
    m_bodyMemory = m_body.capacity();
    return true;
}

bool server_connection::reserveHead()
{
    if (m_headMemory > 0)
        return true;
    const message_head &head = m_parser->head();
    m_headMemory
        = head.target.size()
          + static_cast<std::size_t>(std::distance(head.headers.begin(), head.headers.end()))
                * headerFieldBytes;
    if (m_memory.tryResize(std::max(heldBytes(), m_memory.bytes()), m_clock()))
        return true;
    m_headMemory = 0;
    return false;
}

void server_connection::dropBody() noexcept
{
    // Assignment of an empty string would keep the memory.
    std::string().swap(m_body);
    m_bodyMemory = 0;
}

std::size_t server_connection::heldBytes() const noexcept
{
    return connectionBytes + m_stream.bufferBytes() + m_headMemory + m_bodyMemory;
}

void server_connection::updateMemory()
{
    if (m_closed)
        return;
    m_memory.resize(heldBytes());
    const bool isIncomplete = m_parser && m_parser->started();
    if (unsentBytes() > 0)
        m_memory.setReclaimable(reclaim_order::UnreadResponse, m_lastSentAt);
    else if (isIncomplete && !m_responsePending)
        m_memory.setReclaimable(reclaim_order::IncompleteRequest, m_lastActivity);
    else
        m_memory.setNotReclaimable();
}

// Called when memory is short and this connection has made no progress for some time.
void server_connection::releaseMemory()
{
    if (m_closed)
        return;
    if (unsentBytes() == 0 && !m_responsePending && !m_closing) {
        refuseRequest();
        return;
    }
    if (std::exchange(m_responsePending, false))
        m_events.onCallerDisconnected(*this);
    m_stream.abort();
    closeNow();
}

void server_connection::refuseRequest()
{
    const transport::http_headers headers{{"Content-Type", "text/plain"},
                                          {"Retry-After", retryAfterText(m_budget)}};
    respondAndClose(unavailable, headers, "memory_exhausted\n");
}

void server_connection::rejectRequest(unsigned status, std::string_view reason)
{
    respondAndClose(status, {{"Content-Type", "text/plain"}}, std::string(reason) + "\n");
}

void server_connection::respondAndClose(unsigned status, const transport::http_headers &headers,
                                        std::string_view body)
{
    m_parser.reset();
    dropBody();
    m_headMemory = 0;
    // A caller that sends on after its refusal must not be read into memory.
    m_stream.consume(m_stream.input().size());
    m_responsePending = true;
    m_isHeadRequest = false;
    m_keepAlive = false;
    respond(status, headers, body);
    updateMemory();
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
    m_bodyMemory = 0;
    m_headMemory = 0;
    m_lastActivity = m_clock();
    m_lastSentAt = m_lastActivity;
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
        updateMemory();
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
    updateMemory();
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
    dropBody();
    m_memory.setNotReclaimable();
    m_memory.resize(0);
    m_events.onClosed(*this);
}

} // namespace comfreypass::http1
