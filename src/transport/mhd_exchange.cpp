#include "transport/mhd_exchange.h"

#include "transport/callback_guard.h"
#include "transport/field_name.h"

#include <sys/socket.h>

#include <algorithm>
#include <memory>
#include <utility>

namespace comfreypass::transport {

namespace {

/** Maximum bytes of a stream that libmicrohttpd reads at once. */
constexpr std::size_t maxStreamBlockBytes = 16'384;

struct response_deleter
{
    void operator()(MHD_Response *response) const noexcept { MHD_destroy_response(response); }
};
using response_pointer = std::unique_ptr<MHD_Response, response_deleter>;

/** Framing fields are set by libmicrohttpd; a duplicate would make the response ambiguous. */
bool isFramingField(std::string_view name)
{
    return equalIgnoringCase(name, "Content-Length")
           || equalIgnoringCase(name, "Transfer-Encoding");
}

} // namespace

mhd_exchange::mhd_exchange(MHD_Connection *connection, std::size_t maxBufferedBytes,
                           std::function<void()> onResumed)
    : m_connection(connection), m_maxBufferedBytes(maxBufferedBytes),
      m_onResumed(std::move(onResumed))
{
    const MHD_ConnectionInfo *info
        = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    if (info != nullptr)
        m_descriptor = info->connect_fd;
}

void mhd_exchange::respond(unsigned status, http_headers headers, std::string body)
{
    if (closed() || m_state != response_state::Pending || m_aborted)
        return;
    m_status = status;
    m_headers = std::move(headers);
    m_body = std::move(body);
    m_state = response_state::Complete;
    m_finished = true;
    resume();
}

void mhd_exchange::beginStream(unsigned status, http_headers headers)
{
    if (closed() || m_state != response_state::Pending || m_aborted)
        return;
    m_status = status;
    m_headers = std::move(headers);
    m_state = response_state::Streaming;
    resume();
}

bool mhd_exchange::write(std::string_view bytes)
{
    if (closed() || m_state != response_state::Streaming || m_finished || m_aborted)
        return true;
    m_body += bytes;
    resume();
    m_writerPaused = m_body.size() - m_bodyStart >= m_maxBufferedBytes;
    return !m_writerPaused;
}

void mhd_exchange::finish()
{
    if (closed() || m_state != response_state::Streaming || m_aborted)
        return;
    m_finished = true;
    resume();
}

void mhd_exchange::abort()
{
    if (closed() || m_finished)
        return;
    m_aborted = true;
    resume();
}

void mhd_exchange::setEvents(std::function<void()> onWritable, std::function<void(bool)> onClosed)
{
    if (closed()) {
        if (onClosed)
            onClosed(m_sentCompletely);
        return;
    }
    m_onWritable = std::move(onWritable);
    m_onClosed = std::move(onClosed);
}

MHD_Result mhd_exchange::advance()
{
    if (m_callerDisconnected || (m_aborted && m_state == response_state::Pending))
        return MHD_NO;
    if (m_state != response_state::Pending)
        return queueResponse();
    suspend();
    return MHD_YES;
}

MHD_Result mhd_exchange::queueResponse()
{
    response_pointer response;
    if (m_state == response_state::Complete) {
        response.reset(
            MHD_create_response_from_buffer(m_body.size(), m_body.data(), MHD_RESPMEM_MUST_COPY));
        m_body.clear();
    } else {
        response.reset(MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, maxStreamBlockBytes,
                                                         &mhd_exchange::readStream, this, nullptr));
    }
    if (response == nullptr)
        return MHD_NO;
    for (const auto &[name, value] : m_headers) {
        if (!isFramingField(name))
            MHD_add_response_header(response.get(), name.c_str(), value.c_str());
    }
    return MHD_queue_response(m_connection, m_status, response.get());
}

ssize_t mhd_exchange::readStream(void *self, std::uint64_t /*position*/, char *target,
                                 std::size_t capacity) noexcept
{
    ssize_t copied = MHD_CONTENT_READER_END_WITH_ERROR;
    guarded("stream reader",
            [&] { copied = static_cast<mhd_exchange *>(self)->readBytes(target, capacity); });
    return copied;
}

ssize_t mhd_exchange::readBytes(char *target, std::size_t capacity)
{
    if (m_callerDisconnected)
        return MHD_CONTENT_READER_END_WITH_ERROR;
    const std::size_t pendingBytes = m_body.size() - m_bodyStart;
    if (pendingBytes == 0) {
        if (m_aborted)
            return MHD_CONTENT_READER_END_WITH_ERROR;
        if (m_finished)
            return MHD_CONTENT_READER_END_OF_STREAM;
        suspend();
        return 0;
    }
    const std::size_t copied = std::min(pendingBytes, capacity);
    m_body.copy(target, copied, m_bodyStart);
    m_bodyStart += copied;
    if (m_bodyStart == m_body.size()) {
        m_body.clear();
        m_bodyStart = 0;
    } else if (m_bodyStart > m_maxBufferedBytes) {
        m_body.erase(0, m_bodyStart);
        m_bodyStart = 0;
    }
    // Resuming the writer only at half the limit avoids a pause and resume for every block.
    if (m_writerPaused && m_body.size() - m_bodyStart <= m_maxBufferedBytes / 2) {
        m_writerPaused = false;
        const auto onWritable = m_onWritable;
        if (onWritable)
            guarded("onWritable", onWritable);
    }
    return static_cast<ssize_t>(copied);
}

void mhd_exchange::onConnectionClosed(bool complete)
{
    if (closed())
        return;
    m_connection = nullptr;
    m_suspended = false;
    m_sentCompletely = complete && m_finished && !m_callerDisconnected;
    m_body.clear();
    m_bodyStart = 0;
    m_onWritable = nullptr;
    const auto onClosed = std::exchange(m_onClosed, nullptr);
    if (onClosed)
        guarded("onClosed", [&] { onClosed(m_sentCompletely); });
}

void mhd_exchange::onCallerDisconnected()
{
    if (closed())
        return;
    m_callerDisconnected = true;
    // A connection blocked on a full send buffer is not suspended; the shutdown unblocks it.
    if (!m_suspended)
        ::shutdown(m_descriptor, SHUT_RDWR);
    resume();
}

void mhd_exchange::onHandlerReleased()
{
    abort();
}

std::string_view mhd_exchange::stateText() const noexcept
{
    if (m_callerDisconnected)
        return "caller disconnected";
    if (m_aborted)
        return "response aborted";
    return m_state == response_state::Pending ? "response pending" : "response begun";
}

int mhd_exchange::watchedDescriptor() const noexcept
{
    return closed() || m_finished || m_aborted || m_callerDisconnected ? -1 : m_descriptor;
}

void mhd_exchange::suspend()
{
    m_suspended = true;
    MHD_suspend_connection(m_connection);
}

void mhd_exchange::resume()
{
    if (!m_suspended)
        return;
    m_suspended = false;
    MHD_resume_connection(m_connection);
    m_onResumed();
}

} // namespace comfreypass::transport
