#include "transport/socket_watch.h"

#include "transport/callback_guard.h"

#include <fcntl.h>
#include <unistd.h>

#include <utility>

namespace comfreypass::transport {

socket_watch::socket_watch(ACE_Reactor &reactor, ACE_HANDLE descriptor, ready_function ready)
    : m_reactor(reactor), m_descriptor(::fcntl(descriptor, F_DUPFD_CLOEXEC, 0)),
      m_ready(std::move(ready))
{ }

socket_watch::~socket_watch()
{
    watchFor(NULL_MASK);
    if (m_descriptor != ACE_INVALID_HANDLE)
        ::close(m_descriptor);
}

void socket_watch::watchFor(ACE_Reactor_Mask mask)
{
    if (mask == m_mask)
        return;
    // register_handler only adds events, so the earlier registration is removed first.
    if (m_mask != NULL_MASK)
        m_reactor.remove_handler(m_descriptor, ALL_EVENTS_MASK | DONT_CALL);
    m_mask = mask;
    if (m_mask == NULL_MASK)
        return;
    if (m_descriptor == ACE_INVALID_HANDLE
        || m_reactor.register_handler(m_descriptor, this, m_mask) != 0) {
        m_mask = NULL_MASK;
        reportException("socket watch", "the process or the reactor has no room for a descriptor");
    }
}

int socket_watch::handle_input(ACE_HANDLE /*descriptor*/)
{
    guarded("socket watch", [this] { m_ready(READ_MASK); });
    return 0;
}

int socket_watch::handle_output(ACE_HANDLE /*descriptor*/)
{
    guarded("socket watch", [this] { m_ready(WRITE_MASK); });
    return 0;
}

} // namespace comfreypass::transport
