#pragma once

#include <ace/Reactor.h>

#include <cstddef>
#include <functional>
#include <memory>

namespace comfreypass::transport {

/**
 * An ACE reactor on epoll whose timers run on the monotonic clock, so that a change of the wall
 * clock neither fires nor delays them. Not thread-safe.
 */
class epoll_reactor
{
public:
    /**
     * Largest descriptor number + 1 that can be registered, if none is given. The limit of the
     * process on open descriptors cuts it.
     */
    static constexpr std::size_t defaultDescriptors = 8'192;

    explicit epoll_reactor(std::size_t descriptors = defaultDescriptors);
    ~epoll_reactor();
    epoll_reactor(const epoll_reactor &) = delete;
    epoll_reactor &operator=(const epoll_reactor &) = delete;

    /** The reactor; valid as long as this object. */
    ACE_Reactor &get() noexcept { return *m_reactor; }

    /** Handles events until `done` returns true; it is asked after each batch and every 20 ms. */
    void runUntil(const std::function<bool()> &done);

private:
    std::unique_ptr<ACE_Timer_Queue> m_timers;
    std::unique_ptr<ACE_Reactor> m_reactor;
};

} // namespace comfreypass::transport
