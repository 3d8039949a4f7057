#pragma once

#include "core/time_point.h"
#include "support/proxy_faults.h"
#include "transport/reactor_timer.h"
#include "transport/socket_watch.h"

#include <ace/Reactor.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace comfreypass::tests {

/** One connection through a fault_proxy: a socket to the caller and one to the target. */
class proxy_link
{
public:
    /**
     * Creates a link that owns two connected descriptors. Calls `ended` once both directions have
     * ended; `ended` must not destroy the link.
     */
    proxy_link(ACE_Reactor &reactor, int caller, int target, const proxy_faults &faults,
               std::function<void()> ended);
    ~proxy_link();
    proxy_link(const proxy_link &) = delete;
    proxy_link &operator=(const proxy_link &) = delete;

    bool ended() const { return m_ended; }

    /** Applies changed faults to the pending bytes. */
    void applyFaults();

    /** Closes both sides and discards pending bytes. */
    void cut();

    /** Resets both sides. */
    void reset();

    /** Resets the target's side only; the caller's side stays open and its bytes are discarded. */
    void halfOpen();

private:
    struct chunk
    {
        core::time_point due;
        std::string bytes;
    };

    /** Data flow from one socket to the other; `from` and `to` are indexes into m_sockets. */
    struct direction
    {
        std::size_t from = 0;
        std::size_t to = 0;
        std::deque<chunk> pending;
        std::size_t pendingBytes = 0;
        std::uint64_t passedBytes = 0;
        bool readEnded = false;
        bool writeEnded = false;
        bool blocked = false;
    };

    static constexpr std::size_t caller = 0;
    static constexpr std::size_t target = 1;

    void onReady(std::size_t socket, ACE_Reactor_Mask mask);
    void read(direction &dir);
    void forward(direction &dir);
    bool isHeld(const direction &dir) const;
    void garble(direction &dir, std::string &bytes) const;
    void closeSocket(std::size_t socket, bool withReset);
    void finish();
    void updateWatches();

    const proxy_faults &m_faults;
    std::array<int, 2> m_sockets;
    std::array<direction, 2> m_directions;
    std::array<std::unique_ptr<transport::socket_watch>, 2> m_watches;
    transport::reactor_timer m_timer;
    std::function<void()> m_onEnded;
    bool m_targetClosed = false;
    bool m_ended = false;
};

} // namespace comfreypass::tests
