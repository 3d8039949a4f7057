#include "support/proxy_link.h"

#include "transport/clock.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace comfreypass::tests {

namespace {

/** Reading pauses at this many pending bytes, so that the proxy propagates back-pressure. */
constexpr std::size_t maxPendingBytes = 262'144;
constexpr std::size_t readBufferBytes = 16'384;

} // namespace

proxy_link::proxy_link(ACE_Reactor &reactor, int callerSocket, int targetSocket,
                       const proxy_faults &faults, std::function<void()> ended)
    : m_faults(faults), m_sockets{callerSocket, targetSocket},
      m_timer(reactor, [this] { applyFaults(); }), m_onEnded(std::move(ended))
{
    m_directions[caller].from = caller;
    m_directions[caller].to = target;
    m_directions[target].from = target;
    m_directions[target].to = caller;
    for (std::size_t i = 0; i < m_sockets.size(); ++i) {
        ::fcntl(m_sockets[i], F_SETFL, O_NONBLOCK);
        m_watches[i] = std::make_unique<transport::socket_watch>(
            reactor, m_sockets[i], [this, i](ACE_Reactor_Mask mask) { onReady(i, mask); });
    }
    updateWatches();
}

proxy_link::~proxy_link()
{
    m_watches = {};
    closeSocket(caller, false);
    closeSocket(target, false);
}

void proxy_link::applyFaults()
{
    if (m_ended)
        return;
    forward(m_directions[caller]);
    forward(m_directions[target]);
    updateWatches();
}

void proxy_link::cut()
{
    closeSocket(caller, false);
    closeSocket(target, false);
    finish();
}

void proxy_link::reset()
{
    closeSocket(caller, true);
    closeSocket(target, true);
    finish();
}

void proxy_link::halfOpen()
{
    if (m_ended)
        return;
    m_targetClosed = true;
    closeSocket(target, true);
    for (direction &dir : m_directions) {
        dir.pending.clear();
        dir.pendingBytes = 0;
    }
    updateWatches();
}

void proxy_link::onReady(std::size_t socket, ACE_Reactor_Mask mask)
{
    if (m_ended)
        return;
    direction &outgoing = m_directions[socket];
    if (mask == ACE_Event_Handler::READ_MASK) {
        read(outgoing);
    } else {
        m_directions[outgoing.to].blocked = false;
        forward(m_directions[outgoing.to]);
    }
    if (!m_ended)
        updateWatches();
}

void proxy_link::read(direction &dir)
{
    std::string bytes(readBufferBytes, '\0');
    const ssize_t count = ::recv(m_sockets[dir.from], bytes.data(), bytes.size(), 0);
    if (count < 0 && (errno == EAGAIN || errno == EINTR))
        return;
    if (count < 0) {
        reset();
        return;
    }
    if (m_targetClosed) {
        if (count == 0)
            cut();
        return;
    }
    if (count == 0) {
        dir.readEnded = true;
    } else {
        bytes.resize(static_cast<std::size_t>(count));
        dir.pendingBytes += bytes.size();
        dir.pending.push_back({transport::monotonicNow() + m_faults.delay, std::move(bytes)});
    }
    forward(dir);
}

void proxy_link::forward(direction &dir)
{
    const bool limited = dir.to == caller && m_faults.resetAfterBytes.has_value();
    while (!m_ended && !dir.pending.empty() && !dir.blocked && !isHeld(dir)) {
        chunk &next = dir.pending.front();
        if (next.due > transport::monotonicNow())
            return;
        std::string bytes = next.bytes;
        if (limited)
            bytes.resize(std::min<std::uint64_t>(
                bytes.size(),
                *m_faults.resetAfterBytes - std::min(dir.passedBytes, *m_faults.resetAfterBytes)));
        garble(dir, bytes);
        const ssize_t sent = ::send(m_sockets[dir.to], bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent < 0 && errno == EAGAIN) {
            dir.blocked = true;
            return;
        }
        if (sent < 0) {
            reset();
            return;
        }
        const auto count = static_cast<std::size_t>(sent);
        dir.passedBytes += count;
        dir.pendingBytes -= count;
        next.bytes.erase(0, count);
        if (next.bytes.empty())
            dir.pending.pop_front();
        if (limited && dir.passedBytes >= *m_faults.resetAfterBytes) {
            reset();
            return;
        }
    }
    if (m_ended || !dir.readEnded || dir.writeEnded || !dir.pending.empty() || isHeld(dir))
        return;
    dir.writeEnded = true;
    ::shutdown(m_sockets[dir.to], SHUT_WR);
    if (m_directions[caller].writeEnded && m_directions[target].writeEnded)
        cut();
}

bool proxy_link::isHeld(const direction &dir) const
{
    return dir.to == target ? m_faults.holdToTarget : m_faults.holdToCaller;
}

void proxy_link::garble(direction &dir, std::string &bytes) const
{
    if (m_faults.garbleEvery == 0 || dir.to != caller)
        return;
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        if ((dir.passedBytes + i + 1) % m_faults.garbleEvery == 0)
            bytes[i] = static_cast<char>(bytes[i] ^ 0x5a);
    }
}

void proxy_link::closeSocket(std::size_t socket, bool withReset)
{
    if (m_sockets[socket] < 0)
        return;
    if (m_watches[socket] != nullptr)
        m_watches[socket]->watchFor(ACE_Event_Handler::NULL_MASK);
    if (withReset) {
        // Closing with a linger time of 0 sends a reset.
        const linger zeroLinger{1, 0};
        ::setsockopt(m_sockets[socket], SOL_SOCKET, SO_LINGER, &zeroLinger, sizeof(zeroLinger));
    }
    ::close(std::exchange(m_sockets[socket], -1));
}

void proxy_link::finish()
{
    if (std::exchange(m_ended, true))
        return;
    m_timer.stop();
    m_onEnded();
}

void proxy_link::updateWatches()
{
    if (m_ended)
        return;
    core::time_point next = core::time_point::max();
    for (std::size_t i = 0; i < m_sockets.size(); ++i) {
        const direction &out = m_directions[i];
        const direction &in = m_directions[out.to];
        ACE_Reactor_Mask mask = ACE_Event_Handler::NULL_MASK;
        if (!out.readEnded && out.pendingBytes < maxPendingBytes)
            mask |= ACE_Event_Handler::READ_MASK;
        if (in.blocked)
            mask |= ACE_Event_Handler::WRITE_MASK;
        if (m_sockets[i] >= 0)
            m_watches[i]->watchFor(mask);
        if (!out.pending.empty() && !out.blocked && !isHeld(out))
            next = std::min(next, out.pending.front().due);
    }
    if (next != core::time_point::max())
        m_timer.startOnce(next - transport::monotonicNow());
}

} // namespace comfreypass::tests
