#pragma once

#include <ace/Reactor.h>

#include <cstddef>
#include <functional>
#include <memory>

namespace comfreypass::transport {

/**
 * An ACE reactor on epoll whose timers use the monotonic clock, so that changes of the wall clock
 * neither trigger nor delay them. A timer expires after the input that had arrived by its time, so
 * that a process that was busy or paused does not take its peers for silent. Not thread-safe.
 */
class epoll_reactor
{
public:
    /**
     * Default for the largest descriptor number that can be registered, plus 1. The reactor's size
     * is capped at the process's limit on open descriptors.
     */
    static constexpr std::size_t defaultDescriptors = 8'192;

    explicit epoll_reactor(std::size_t descriptors = defaultDescriptors);
    ~epoll_reactor();
    epoll_reactor(const epoll_reactor &) = delete;
    epoll_reactor &operator=(const epoll_reactor &) = delete;

    /** Returns the reactor; valid as long as this object. Its timers expire only in runUntil(). */
    ACE_Reactor &get() noexcept { return *m_reactor; }

    /** Handles events until `done` returns true, checked after each batch and every 20 ms. */
    void runUntil(const std::function<bool()> &done);

private:
    class timer_queue;
    class input_mark;

    std::unique_ptr<timer_queue> m_timers;
    std::unique_ptr<ACE_Reactor> m_reactor;
    std::unique_ptr<input_mark> m_mark;
};

} // namespace comfreypass::transport
