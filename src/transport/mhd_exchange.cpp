#include "transport/mhd_exchange.h"

#include "transport/callback_guard.h"

#include <boost/algorithm/string/predicate.hpp>
#include <sys/socket.h>

#include <algorithm>
#include <memory>
#include <utility>

namespace comfreypass::transport {

namespace {

/** Most bytes of a stream that libmicrohttpd takes over in one step. */
constexpr std::size_t streamBlockBytes = 16'384;

struct response_deleter
{
    void operator()(MHD_Response *response) const noexcept { MHD_destroy_response(response); }
};
using response_pointer = std::unique_ptr<MHD_Response, response_deleter>;

/** Framing is the library's; a field given twice would make the answer ambiguous. */
bool isFraming(std::string_view name)
{
    return boost::algorithm::iequals(name, "Content-Length")
           || boost::algorithm::iequals(name, "Transfer-Encoding");
}

} // namespace

mhd_exchange::mhd_exchange(MHD_Connection *connection, std::size_t bufferBound,
                           std::function<void()> resumed)
    : m_connection(connection), m_bufferBound(bufferBound), m_resumed(std::move(resumed))
{
    const MHD_ConnectionInfo *info
        = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    if (info != nullptr)
        m_descriptor = info->connect_fd;
}

void mhd_exchange::respond(unsigned status, http_headers headers, std::string body)
{
    if (closed() || m_state != answer_state::Unanswered || m_aborted)
        return;
    m_status = status;
    m_headers = std::move(headers);
    m_body = std::move(body);
    m_state = answer_state::Whole;
    m_finished = true;
    wake();
}

void mhd_exchange::beginStream(unsigned status, http_headers headers)
{
    if (closed() || m_state != answer_state::Unanswered || m_aborted)
        return;
    m_status = status;
    m_headers = std::move(headers);
    m_state = answer_state::Streaming;
    wake();
}

bool mhd_exchange::write(std::string_view bytes)
{
    if (closed() || m_state != answer_state::Streaming || m_finished || m_aborted)
        return true;
    m_body += bytes;
    wake();
    m_writerWaits = m_body.size() - m_bodyStart >= m_bufferBound;
    return !m_writerWaits;
}

void mhd_exchange::finish()
{
    if (closed() || m_state != answer_state::Streaming || m_aborted)
        return;
    m_finished = true;
    wake();
}

void mhd_exchange::abort()
{
    if (closed() || m_finished)
        return;
    m_aborted = true;
    wake();
}

void mhd_exchange::setEvents(std::function<void()> onWritable, std::function<void(bool)> onClosed)
{
    if (closed()) {
        if (onClosed)
            onClosed(m_sentWhole);
        return;
    }
    m_onWritable = std::move(onWritable);
    m_onClosed = std::move(onClosed);
}

MHD_Result mhd_exchange::advance()
{
    if (m_gone || (m_aborted && m_state == answer_state::Unanswered))
        return MHD_NO;
    if (m_state != answer_state::Unanswered)
        return queueAnswer();
    suspend();
    return MHD_YES;
}

MHD_Result mhd_exchange::queueAnswer()
{
    response_pointer response;
    if (m_state == answer_state::Whole) {
        response.reset(
            MHD_create_response_from_buffer(m_body.size(), m_body.data(), MHD_RESPMEM_MUST_COPY));
        m_body.clear();
    } else {
        response.reset(MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, streamBlockBytes,
                                                         &mhd_exchange::readStream, this, nullptr));
    }
    if (response == nullptr)
        return MHD_NO;
    for (const auto &[name, value] : m_headers) {
        if (!isFraming(name))
            MHD_add_response_header(response.get(), name.c_str(), value.c_str());
    }
    return MHD_queue_response(m_connection, m_status, response.get());
}

ssize_t mhd_exchange::readStream(void *self, std::uint64_t /*position*/, char *target,
                                 std::size_t capacity) noexcept
{
    ssize_t taken = MHD_CONTENT_READER_END_WITH_ERROR;
    guarded("stream reader",
            [&] { taken = static_cast<mhd_exchange *>(self)->takeBytes(target, capacity); });
    return taken;
}

ssize_t mhd_exchange::takeBytes(char *target, std::size_t capacity)
{
    if (m_gone)
        return MHD_CONTENT_READER_END_WITH_ERROR;
    const std::size_t waiting = m_body.size() - m_bodyStart;
    if (waiting == 0) {
        if (m_aborted)
            return MHD_CONTENT_READER_END_WITH_ERROR;
        if (m_finished)
            return MHD_CONTENT_READER_END_OF_STREAM;
        suspend();
        return 0;
    }
    const std::size_t taken = std::min(waiting, capacity);
    m_body.copy(target, taken, m_bodyStart);
    m_bodyStart += taken;
    if (m_bodyStart == m_body.size()) {
        m_body.clear();
        m_bodyStart = 0;
    } else if (m_bodyStart > m_bufferBound) {
        m_body.erase(0, m_bodyStart);
        m_bodyStart = 0;
    }
    // The writer goes on at half the bound, so that it does not alternate with each block.
    if (m_writerWaits && m_body.size() - m_bodyStart <= m_bufferBound / 2) {
        m_writerWaits = false;
        const auto onWritable = m_onWritable;
        if (onWritable)
            guarded("onWritable", onWritable);
    }
    return static_cast<ssize_t>(taken);
}

void mhd_exchange::connectionClosed(bool complete)
{
    if (closed())
        return;
    m_connection = nullptr;
    m_suspended = false;
    m_sentWhole = complete && m_finished && !m_gone;
    m_body.clear();
    m_bodyStart = 0;
    m_onWritable = nullptr;
    const auto onClosed = std::exchange(m_onClosed, nullptr);
    if (onClosed)
        guarded("onClosed", [&] { onClosed(m_sentWhole); });
}

void mhd_exchange::callerGone()
{
    if (closed())
        return;
    m_gone = true;
    // A connection that waits for room to send is not suspended; the shutdown ends its waiting.
    if (!m_suspended)
        ::shutdown(m_descriptor, SHUT_RDWR);
    wake();
}

void mhd_exchange::handlerGone()
{
    abort();
}

int mhd_exchange::descriptorToWatch() const noexcept
{
    return closed() || m_finished || m_aborted || m_gone ? -1 : m_descriptor;
}

void mhd_exchange::suspend()
{
    m_suspended = true;
    MHD_suspend_connection(m_connection);
}

void mhd_exchange::wake()
{
    if (!m_suspended)
        return;
    m_suspended = false;
    MHD_resume_connection(m_connection);
    m_resumed();
}

} // namespace comfreypass::transport
