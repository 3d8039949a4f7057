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

/** Reading pauses at this many waiting bytes, so that back-pressure passes through the proxy. */
constexpr std::size_t waitingBytesBound = 262'144;
constexpr std::size_t readBytes = 16'384;

} // namespace

proxy_link::proxy_link(ACE_Reactor &reactor, int callerSocket, int targetSocket,
                       const proxy_faults &faults, std::function<void()> ended)
    : m_faults(faults), m_sockets{callerSocket, targetSocket},
      m_timer(reactor, [this] { faultsChanged(); }), m_onEnded(std::move(ended))
{
    m_ways[caller].from = caller;
    m_ways[caller].to = target;
    m_ways[target].from = target;
    m_ways[target].to = caller;
    for (std::size_t i = 0; i < m_sockets.size(); ++i) {
        ::fcntl(m_sockets[i], F_SETFL, O_NONBLOCK);
        m_watches[i] = std::make_unique<transport::socket_watch>(
            reactor, m_sockets[i], [this, i](ACE_Reactor_Mask mask) { ready(i, mask); });
    }
    update();
}

proxy_link::~proxy_link()
{
    m_watches = {};
    closeSocket(caller, false);
    closeSocket(target, false);
}

void proxy_link::faultsChanged()
{
    if (m_ended)
        return;
    pump(m_ways[caller]);
    pump(m_ways[target]);
    update();
}

void proxy_link::cut()
{
    closeSocket(caller, false);
    closeSocket(target, false);
    end();
}

void proxy_link::reset()
{
    closeSocket(caller, true);
    closeSocket(target, true);
    end();
}

void proxy_link::halfOpen()
{
    if (m_ended)
        return;
    m_targetLost = true;
    closeSocket(target, true);
    for (direction &way : m_ways) {
        way.waiting.clear();
        way.waitingBytes = 0;
    }
    update();
}

void proxy_link::ready(std::size_t socket, ACE_Reactor_Mask mask)
{
    if (m_ended)
        return;
    direction &outgoing = m_ways[socket];
    if (mask == ACE_Event_Handler::READ_MASK) {
        read(outgoing);
    } else {
        m_ways[outgoing.to].blocked = false;
        pump(m_ways[outgoing.to]);
    }
    if (!m_ended)
        update();
}

void proxy_link::read(direction &way)
{
    std::string bytes(readBytes, '\0');
    const ssize_t count = ::recv(m_sockets[way.from], bytes.data(), bytes.size(), 0);
    if (count < 0 && (errno == EAGAIN || errno == EINTR))
        return;
    if (count < 0) {
        reset();
        return;
    }
    if (m_targetLost) {
        if (count == 0)
            cut();
        return;
    }
    if (count == 0) {
        way.readEnded = true;
    } else {
        bytes.resize(static_cast<std::size_t>(count));
        way.waitingBytes += bytes.size();
        way.waiting.push_back({transport::monotonicNow() + m_faults.delay, std::move(bytes)});
    }
    pump(way);
}

void proxy_link::pump(direction &way)
{
    const bool limited = way.to == caller && m_faults.resetAfterBytes.has_value();
    while (!m_ended && !way.waiting.empty() && !way.blocked && !held(way)) {
        chunk &next = way.waiting.front();
        if (next.due > transport::monotonicNow())
            return;
        std::string part = next.bytes;
        if (limited)
            part.resize(std::min<std::uint64_t>(
                part.size(),
                *m_faults.resetAfterBytes - std::min(way.passedBytes, *m_faults.resetAfterBytes)));
        garble(way, part);
        const ssize_t sent = ::send(m_sockets[way.to], part.data(), part.size(), MSG_NOSIGNAL);
        if (sent < 0 && errno == EAGAIN) {
            way.blocked = true;
            return;
        }
        if (sent < 0) {
            reset();
            return;
        }
        const auto count = static_cast<std::size_t>(sent);
        way.passedBytes += count;
        way.waitingBytes -= count;
        next.bytes.erase(0, count);
        if (next.bytes.empty())
            way.waiting.pop_front();
        if (limited && way.passedBytes >= *m_faults.resetAfterBytes) {
            reset();
            return;
        }
    }
    if (m_ended || !way.readEnded || way.writeEnded || !way.waiting.empty() || held(way))
        return;
    way.writeEnded = true;
    ::shutdown(m_sockets[way.to], SHUT_WR);
    if (m_ways[caller].writeEnded && m_ways[target].writeEnded)
        cut();
}

bool proxy_link::held(const direction &way) const
{
    return way.to == target ? m_faults.holdToTarget : m_faults.holdToCaller;
}

void proxy_link::garble(direction &way, std::string &bytes) const
{
    if (m_faults.garbleEvery == 0 || way.to != caller)
        return;
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        if ((way.passedBytes + i + 1) % m_faults.garbleEvery == 0)
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
        const linger abrupt{1, 0};
        ::setsockopt(m_sockets[socket], SOL_SOCKET, SO_LINGER, &abrupt, sizeof(abrupt));
    }
    ::close(std::exchange(m_sockets[socket], -1));
}

void proxy_link::end()
{
    if (std::exchange(m_ended, true))
        return;
    m_timer.stop();
    m_onEnded();
}

void proxy_link::update()
{
    if (m_ended)
        return;
    core::time_point next = core::time_point::max();
    for (std::size_t i = 0; i < m_sockets.size(); ++i) {
        const direction &out = m_ways[i];
        const direction &in = m_ways[out.to];
        ACE_Reactor_Mask mask = ACE_Event_Handler::NULL_MASK;
        if (!out.readEnded && out.waitingBytes < waitingBytesBound)
            mask |= ACE_Event_Handler::READ_MASK;
        if (in.blocked)
            mask |= ACE_Event_Handler::WRITE_MASK;
        if (m_sockets[i] >= 0)
            m_watches[i]->watchFor(mask);
        if (!out.waiting.empty() && !out.blocked && !held(out))
            next = std::min(next, out.waiting.front().due);
    }
    if (next != core::time_point::max())
        m_timer.startOnce(next - transport::monotonicNow());
}

} // namespace comfreypass::tests
