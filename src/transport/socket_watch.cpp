#include "transport/socket_watch.h"

#include "transport/callback_guard.h"

#include <fcntl.h>
#include <unistd.h>

#include <utility>

namespace comfreypass::transport {

socket_watch::socket_watch(ACE_Reactor &reactor, ACE_HANDLE descriptor, ready_function onReady)
    : m_reactor(reactor), m_descriptor(descriptor), m_onReady(std::move(onReady))
{ }

socket_watch::~socket_watch()
{
    stopWatching();
}

void socket_watch::watchFor(ACE_Reactor_Mask mask)
{
    if (mask == m_mask)
        return;
    // register_handler only adds events, so the previous registration is removed first.
    stopWatching();
    if (mask == NULL_MASK)
        return;
    m_duplicate = ::fcntl(m_descriptor, F_DUPFD_CLOEXEC, 0);
    if (m_duplicate != ACE_INVALID_HANDLE
        && m_reactor.register_handler(m_duplicate, this, mask) == 0) {
        m_mask = mask;
        return;
    }
    stopWatching();
    reportException(
        "socket watch",
        "cannot register a socket: descriptor limit of the process or the reactor reached");
}

void socket_watch::stopWatching()
{
    if (m_mask != NULL_MASK)
        m_reactor.remove_handler(m_duplicate, ALL_EVENTS_MASK | DONT_CALL);
    m_mask = NULL_MASK;
    if (m_duplicate != ACE_INVALID_HANDLE)
        ::close(std::exchange(m_duplicate, ACE_INVALID_HANDLE));
}

int socket_watch::handle_input(ACE_HANDLE /*descriptor*/)
{
    guarded("socket watch", [this] { m_onReady(READ_MASK); });
    return 0;
}

int socket_watch::handle_output(ACE_HANDLE /*descriptor*/)
{
    guarded("socket watch", [this] { m_onReady(WRITE_MASK); });
    return 0;
}

} // namespace comfreypass::transport
