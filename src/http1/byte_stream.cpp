#include "http1/byte_stream.h"

#include "core/invariant.h"
#include "transport/callback_guard.h"

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <utility>

namespace comfreypass::http1 {

namespace {

/** Size of one read; larger than a typical request or stream event. */
constexpr std::size_t readBufferBytes = 16'384;

/** Consumed input is erased once it reaches this size, which bounds the cost of moving the rest. */
constexpr std::size_t compactionThresholdBytes = 65'536;

/** An empty buffer of at most this size is kept: enough for a typical head or stream event. */
constexpr std::size_t keptBufferBytes = 4'096;

/**
 * TCP_USER_TIMEOUT: closes a connection whose output stays unacknowledged, since a peer that lost
 * power never resets it. Equals the shortest request timeout.
 */
constexpr unsigned unacknowledgedTimeoutMs = 3'000;

void setSocketOption(int descriptor, int level, int option, int value)
{
    ::setsockopt(descriptor, level, option, &value, sizeof value);
}

void configureSocket(int descriptor)
{
    setSocketOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    setSocketOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledgedTimeoutMs);
}

/** Returns the error that the kernel has not reported yet, and clears it; 0 if there is none. */
int pendingError(int descriptor)
{
    int error = 0;
    socklen_t size = sizeof error;
    return ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) == 0 ? error : errno;
}

/** Returns whether the peer has not acknowledged all bytes that the kernel accepted. */
bool hasUnacknowledgedBytes(int descriptor)
{
    int bytes = 0;
    return ::ioctl(descriptor, SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

/** Frees the memory of an empty buffer that is not small; assignment would keep it. */
void releaseIfLarge(std::string &buffer)
{
    if (buffer.capacity() > keptBufferBytes)
        std::string().swap(buffer);
}

bool wouldBlock(int error)
{
    return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

} // namespace

byte_stream::byte_stream(ACE_Reactor &reactor, socket_handle connection, stream_events &events)
    : m_reactor(reactor), m_events(events), m_socket(std::move(connection)), m_connected(true)
{
    configureSocket(m_socket.get());
    updateMask();
}

byte_stream::byte_stream(ACE_Reactor &reactor, const endpoint &target, stream_events &events)
    : m_reactor(reactor), m_events(events),
      m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
{
    if (!m_socket.valid())
        return;
    configureSocket(m_socket.get());
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(target.port);
    address.sin_addr.s_addr = htonl(target.address);
    // An immediate failure is reported through a socket event, like a later one.
    static_cast<void>(
        ::connect(m_socket.get(), reinterpret_cast<const sockaddr *>(&address), sizeof address));
    updateMask();
}

byte_stream::~byte_stream()
{
    close();
}

void byte_stream::send(std::string_view bytes)
{
    if (!isOpen() || bytes.empty() || m_sendError != 0)
        return;
    const bool idle = unsentBytes() == 0;
    if (idle && m_connected) {
        const ssize_t sent = ::send(m_socket.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent == static_cast<ssize_t>(bytes.size()))
            return;
        if (sent > 0)
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        else if (sent < 0 && !wouldBlock(errno))
            onSendError(errno);
    }
    if (const std::shared_ptr<const std::string> shared = std::exchange(m_shared, nullptr))
        m_output.append(*shared, m_sharedSent);
    m_output.append(bytes);
    updateMask();
}

void byte_stream::sendShared(std::shared_ptr<const std::string> bytes)
{
    if (!isOpen() || !bytes || bytes->empty() || m_sendError != 0)
        return;
    if (m_shared) {
        send(*bytes);
        return;
    }
    m_shared = std::move(bytes);
    m_sharedSent = 0;
    updateMask();
}

void byte_stream::consume(std::size_t count)
{
    COMFREYPASS_INVARIANT(count <= m_input.size() - m_consumed);
    m_consumed += count;
    if (m_consumed == m_input.size()) {
        m_input.clear();
        m_consumed = 0;
        releaseIfLarge(m_input);
    } else if (m_consumed >= compactionThresholdBytes) {
        m_input.erase(0, m_consumed);
        m_consumed = 0;
    }
}

void byte_stream::setReading(bool reading)
{
    if (m_reading == reading)
        return;
    m_reading = reading;
    updateMask();
}

void byte_stream::closeSending()
{
    if (!isOpen())
        return;
    m_closeAfterOutput = true;
    if (unsentBytes() == 0)
        ::shutdown(m_socket.get(), SHUT_WR);
}

void byte_stream::close() noexcept
{
    if (!isOpen())
        return;
    if (m_mask != ACE_Event_Handler::NULL_MASK)
        m_reactor.remove_handler(this,
                                 ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL);
    m_mask = ACE_Event_Handler::NULL_MASK;
    m_socket.reset();
    // Nothing reads them any more, and the object may be deleted later.
    m_shared.reset();
    std::string().swap(m_output);
    m_sent = 0;
}

void byte_stream::abort() noexcept
{
    if (!isOpen())
        return;
    const linger immediate{1, 0};
    ::setsockopt(m_socket.get(), SOL_SOCKET, SO_LINGER, &immediate, sizeof immediate);
    close();
}

int byte_stream::handle_input(ACE_HANDLE)
{
    transport::guarded("connection input", [this] {
        if (!m_connected) {
            finishConnect();
            return;
        }
        std::array<char, readBufferBytes> buffer; // NOLINT(*-member-init): filled by recv
        const ssize_t count = ::recv(m_socket.get(), buffer.data(), buffer.size(), 0);
        if (count > 0) {
            m_input.append(buffer.data(), static_cast<std::size_t>(count));
            m_events.onInput();
        } else if (count == 0) {
            closeAndReport(endOfInput());
        } else if (!wouldBlock(errno)) {
            closeAndReport(stream_end::Reset);
        }
    });
    return 0;
}

int byte_stream::handle_output(ACE_HANDLE)
{
    transport::guarded("connection output", [this] {
        if (!m_connected)
            finishConnect();
        else
            flush();
    });
    return 0;
}

void byte_stream::finishConnect()
{
    if (pendingError(m_socket.get()) != 0) {
        closeAndReport(stream_end::ConnectFailed);
        return;
    }
    sockaddr_in peer{};
    socklen_t peerSize = sizeof peer;
    // The socket can signal events before the connection is established.
    if (::getpeername(m_socket.get(), reinterpret_cast<sockaddr *>(&peer), &peerSize) != 0)
        return;
    m_connected = true;
    flush();
    if (isOpen())
        m_events.onConnected();
}

void byte_stream::flush()
{
    const bool wasWaiting = unsentBytes() > 0;
    while (unsentBytes() > 0) {
        const std::string_view next = nextOutput();
        const ssize_t sent = ::send(m_socket.get(), next.data(), next.size(), MSG_NOSIGNAL);
        if (sent < 0) {
            if (wouldBlock(errno))
                break;
            onSendError(errno);
            return;
        }
        onBytesSent(static_cast<std::size_t>(sent));
    }
    updateMask();
    if (unsentBytes() > 0 || !wasWaiting)
        return;
    if (m_closeAfterOutput)
        ::shutdown(m_socket.get(), SHUT_WR);
    m_events.onSent();
}

std::string_view byte_stream::nextOutput() const noexcept
{
    const std::string_view rest = std::string_view(m_output).substr(m_sent);
    return rest.empty() ? std::string_view(*m_shared).substr(m_sharedSent) : rest;
}

void byte_stream::onBytesSent(std::size_t count)
{
    m_flushedBytes += count;
    if (m_sent == m_output.size()) {
        m_sharedSent += count;
        if (m_sharedSent == m_shared->size())
            m_shared.reset();
        return;
    }
    m_sent += count;
    if (m_sent == m_output.size()) {
        m_output.clear();
        m_sent = 0;
        releaseIfLarge(m_output);
    } else if (m_sent >= compactionThresholdBytes && m_sent >= m_output.size() / 2) {
        m_output.erase(0, m_sent);
        m_sent = 0;
    }
}

// The peer may have responded before it closed, so the received bytes are read first. The end is
// reported from handle_input, never from within send().
void byte_stream::onSendError(int error)
{
    m_sendError = error;
    updateMask();
}

// recv() reports the end of the input even if a reset has followed it, or if a failed send has
// already taken the error of a reset.
stream_end byte_stream::endOfInput() const
{
    if (m_sendError != 0 || pendingError(m_socket.get()) != 0)
        return stream_end::Reset;
    const bool isEarly = unsentBytes() > 0 || hasUnacknowledgedBytes(m_socket.get());
    return isEarly ? stream_end::ClosedEarly : stream_end::Closed;
}

void byte_stream::closeAndReport(stream_end reason)
{
    close();
    m_events.onEnd(reason);
}

void byte_stream::updateMask()
{
    if (!isOpen())
        return;
    ACE_Reactor_Mask wanted = ACE_Event_Handler::NULL_MASK;
    const bool sendFailed = m_sendError != 0;
    if (m_connected && (m_reading || sendFailed))
        wanted |= ACE_Event_Handler::READ_MASK;
    if (!m_connected || (unsentBytes() > 0 && !sendFailed))
        wanted |= ACE_Event_Handler::WRITE_MASK;
    if (wanted == m_mask)
        return;
    const ACE_Reactor_Mask removed = m_mask & ~wanted;
    const ACE_Reactor_Mask added = wanted & ~m_mask;
    m_mask = wanted;
    if (removed != ACE_Event_Handler::NULL_MASK)
        m_reactor.remove_handler(this, removed | ACE_Event_Handler::DONT_CALL);
    if (added != ACE_Event_Handler::NULL_MASK)
        m_reactor.register_handler(this, added);
}

} // namespace comfreypass::http1
