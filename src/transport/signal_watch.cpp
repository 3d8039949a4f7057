#include "transport/signal_watch.h"

#include <csignal>
#include <utility>

namespace comfreypass::transport {

signal_watch::signal_watch(ACE_Reactor &reactor, std::function<void()> onStopRequested)
    : m_reactor(reactor), m_onStopRequested(std::move(onStopRequested))
{
    std::signal(SIGPIPE, SIG_IGN);
    m_reactor.register_handler(SIGTERM, this);
    m_reactor.register_handler(SIGINT, this);
}

signal_watch::~signal_watch()
{
    m_reactor.remove_handler(SIGTERM, static_cast<ACE_Sig_Action *>(nullptr));
    m_reactor.remove_handler(SIGINT, static_cast<ACE_Sig_Action *>(nullptr));
    m_reactor.purge_pending_notifications(this);
}

// Runs in the signal handler, so it only queues a notification for the reactor's thread.
int signal_watch::handle_signal(int, siginfo_t *, ucontext_t *)
{
    return m_reactor.notify(this, ACE_Event_Handler::EXCEPT_MASK) < 0 ? -1 : 0;
}

int signal_watch::handle_exception(ACE_HANDLE)
{
    m_onStopRequested();
    return 0;
}

} // namespace comfreypass::transport
