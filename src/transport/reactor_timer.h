#pragma once

#include "core/time_point.h"

#include <ace/Event_Handler.h>
#include <ace/Reactor.h>

#include <functional>
#include <memory>

namespace comfreypass::transport {

/**
 * A reactor timer that calls a function. The destructor stops it; the function may stop, restart or
 * destroy its own timer. Exceptions of the function are caught and logged.
 * Not thread-safe.
 */
class reactor_timer : private ACE_Event_Handler
{
public:
    /** Creates a stopped timer. The reactor must outlive it. */
    reactor_timer(ACE_Reactor &reactor, std::function<void()> onExpired);
    ~reactor_timer() override;
    reactor_timer(const reactor_timer &) = delete;
    reactor_timer &operator=(const reactor_timer &) = delete;

    /** Calls the function once after `delay`; replaces a pending schedule. */
    void startOnce(core::duration delay);

    /** Calls the function every `interval` until stopped; replaces a pending schedule. */
    void startRepeating(core::duration interval);

    /** Cancels pending calls. */
    void stop() noexcept;

    /** Returns true while a call is pending. */
    bool active() const noexcept { return m_id >= 0; }

private:
    int handle_timeout(const ACE_Time_Value &now, const void *argument) override;
    void schedule(core::duration delay, core::duration interval);

    ACE_Reactor &m_reactor;
    std::shared_ptr<std::function<void()>> m_onExpired;
    long m_id = -1;
    bool m_repeating = false;
};

} // namespace comfreypass::transport
