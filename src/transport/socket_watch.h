#pragma once

#include <ace/Event_Handler.h>
#include <ace/Reactor.h>

#include <functional>

namespace comfreypass::transport {

/**
 * Registration of a descriptor with a reactor; ends with the object. Not thread-safe.
 *
 * The descriptor belongs to someone else and may be closed before the watch ends: the watch
 * registers a duplicate of its own. libcurl closes sockets whose connection failed before it says
 * that it no longer watches them, and the reactor cannot remove a closed descriptor; it would give
 * the old handler the events of the next socket with the same number.
 */
class socket_watch : private ACE_Event_Handler
{
public:
    /** Receives READ_MASK or WRITE_MASK; must not destroy the watch. */
    using ready_function = std::function<void(ACE_Reactor_Mask ready)>;

    socket_watch(ACE_Reactor &reactor, ACE_HANDLE descriptor, ready_function onReady);
    ~socket_watch() override;
    socket_watch(const socket_watch &) = delete;
    socket_watch &operator=(const socket_watch &) = delete;

    /**
     * Watches for any of READ_MASK and WRITE_MASK. NULL_MASK watches for nothing and lets go of the
     * descriptor, so that a close of it closes the connection.
     */
    void watchFor(ACE_Reactor_Mask mask);

private:
    int handle_input(ACE_HANDLE descriptor) override;
    int handle_output(ACE_HANDLE descriptor) override;

    void stopWatching();

    ACE_Reactor &m_reactor;
    ACE_HANDLE m_descriptor;
    /** The registered duplicate; ACE_INVALID_HANDLE while nothing is watched for. */
    ACE_HANDLE m_duplicate = ACE_INVALID_HANDLE;
    ready_function m_onReady;
    ACE_Reactor_Mask m_mask = NULL_MASK;
};

} // namespace comfreypass::transport
