#include "http1/client_connection.h"

#include "transport/response_status.h"

#include <array>
#include <cstddef>
#include <utility>

namespace comfreypass::http1 {

namespace {

/** Limit on a response header and on chunk metadata; larger than common servers send. */
constexpr std::size_t responseHeaderBytes = 65'536;

/** Limit on interim responses and on late responses to earlier requests, per request. */
constexpr std::size_t maxSkippedBytes = 262'144;

} // namespace

std::string_view toString(exchange_failure failure) noexcept
{
    static constexpr std::array<std::string_view, 5> names
        = {"connect_failed", "no_response", "incomplete", "malformed", "unattributed"};
    return names.at(static_cast<std::size_t>(failure));
}

client_connection::client_connection(ACE_Reactor &reactor, const endpoint &target)
    : m_stream(reactor, target, *this)
{ }

void client_connection::start(std::string_view request, client_events &events,
                              std::shared_ptr<const std::string> rest)
{
    m_events = &events;
    m_isHeadRequest = request.starts_with("HEAD ");
    m_headReported = false;
    m_skipping = false;
    m_skippedBytes = 0;
    m_parser.reset();
    m_stream.setReading(true);
    m_stream.send(request);
    m_stream.sendShared(std::move(rest));
}

void client_connection::cancel() noexcept
{
    // The kernel would deliver the request of a closed connection later, also after a partition.
    if (std::exchange(m_events, nullptr))
        m_stream.abort();
    else
        m_stream.close();
}

void client_connection::closeAfterRequest() noexcept
{
    // The first part of a request cannot run, but an engine could wait for its rest.
    if (m_stream.unsentBytes() > 0) {
        cancel();
        return;
    }
    m_events = nullptr;
    m_stream.close();
}

bool client_connection::usable() const noexcept
{
    return m_events == nullptr && !m_unusable && m_stream.isOpen() && m_stream.input().empty();
}

void client_connection::onInput()
{
    if (m_events == nullptr) {
        // Bytes after a complete response belong to no request, so the connection is unusable.
        m_unusable = true;
        m_stream.close();
        return;
    }
    readResponse();
}

void client_connection::readResponse()
{
    while (m_events != nullptr && !m_stream.input().empty()) {
        if (!m_parser) {
            m_headReported = false;
            m_skipping = false;
            m_parser.emplace(message_kind::Response, responseHeaderBytes,
                             [this](std::string_view bytes) {
                                 if (reportHead() && m_events != nullptr)
                                     m_events->onBody(bytes);
                             });
            if (m_isHeadRequest)
                m_parser->skipBody();
        }
        const core::result<std::size_t> consumed = m_parser->parse(m_stream.input());
        if (!consumed) {
            fail(exchange_failure::Malformed);
            return;
        }
        if (!m_stream.isOpen())
            return;
        m_stream.consume(consumed.value());
        if (m_parser->hasHead())
            reportHead();
        if (m_events == nullptr)
            return;
        if (m_skipping)
            m_skippedBytes += consumed.value();
        // The parser leaves only an incomplete header, chunk header or trailer unconsumed.
        const bool endless
            = m_skippedBytes > maxSkippedBytes
              || (!m_parser->complete() && m_stream.input().size() > responseHeaderBytes);
        if (endless) {
            fail(exchange_failure::Malformed);
            return;
        }
        if (!m_parser->complete())
            return;
        if (!m_skipping) {
            finish();
            return;
        }
        m_parser.reset();
    }
}

// Reports the header once, before any body bytes. Returns false if the body is to be discarded.
bool client_connection::reportHead()
{
    if (std::exchange(m_headReported, true))
        return !m_skipping;
    const message_head &head = m_parser->head();
    if (transport::isInterimStatus(head.status)) {
        m_skipping = true;
        m_events->onInterimHead(head);
        return false;
    }
    const head_decision decision = m_events->onHead(head);
    m_skipping = decision != head_decision::Accept;
    // A response to an earlier request may have a body, which the parser skips after HEAD.
    if (decision == head_decision::Reject || (m_skipping && m_isHeadRequest))
        fail(exchange_failure::Unattributed);
    return !m_skipping;
}

void client_connection::finish()
{
    const bool reusable = m_parser->head().keepAlive && m_stream.isOpen()
                          && m_stream.input().empty() && m_stream.unsentBytes() == 0;
    m_parser.reset();
    client_events &events = *std::exchange(m_events, nullptr);
    if (!reusable) {
        m_unusable = true;
        m_stream.close();
    }
    events.onComplete(reusable);
}

void client_connection::fail(exchange_failure failure)
{
    m_unusable = true;
    m_stream.abort();
    if (client_events *events = std::exchange(m_events, nullptr))
        events->onFailed(failure);
}

void client_connection::onEnd(stream_end end)
{
    m_unusable = true;
    if (m_events == nullptr)
        return;
    if (end == stream_end::ConnectFailed) {
        fail(exchange_failure::ConnectFailed);
        return;
    }
    const bool started = m_parser && m_parser->started();
    if (!started || m_skipping) {
        fail(exchange_failure::NoResponse);
        return;
    }
    // A response without a length is completed by a close after the request, not by any other end.
    const bool complete
        = end == stream_end::Closed && m_parser->hasHead() && m_parser->finishAtEof();
    if (!complete) {
        fail(exchange_failure::Incomplete);
        return;
    }
    reportHead();
    client_events &events = *std::exchange(m_events, nullptr);
    events.onComplete(false);
}

} // namespace comfreypass::http1
