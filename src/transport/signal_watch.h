#pragma once

#include <ace/Event_Handler.h>
#include <ace/Reactor.h>

#include <functional>

namespace comfreypass::transport {

/** Calls a function on the reactor's thread for each SIGTERM or SIGINT, and ignores SIGPIPE. */
class signal_watch : private ACE_Event_Handler
{
public:
    /** The reactor must outlive the watch. At most one watch may exist per process at a time. */
    signal_watch(ACE_Reactor &reactor, std::function<void()> onStopRequested);
    ~signal_watch() override;
    signal_watch(const signal_watch &) = delete;
    signal_watch &operator=(const signal_watch &) = delete;

private:
    int handle_signal(int number, siginfo_t *information, ucontext_t *context) override;
    int handle_exception(ACE_HANDLE handle) override;

    ACE_Reactor &m_reactor;
    std::function<void()> m_onStopRequested;
};

} // namespace comfreypass::transport
