#pragma once

#include <ace/Event_Handler.h>
#include <ace/Reactor.h>

#include <functional>

namespace comfreypass::transport {

/**
 * Scoped registration of a descriptor with a reactor. Not thread-safe.
 *
 * The watch does not own the descriptor, which may be closed first; it therefore registers its own
 * duplicate. libcurl closes a socket whose connection failed before it requests the removal of the
 * watch. The reactor cannot remove a closed descriptor and would deliver the events of the next
 * socket with the same number to the old handler.
 */
class socket_watch : private ACE_Event_Handler
{
public:
    /** Called with READ_MASK or WRITE_MASK; must not destroy the watch. */
    using ready_function = std::function<void(ACE_Reactor_Mask ready)>;

    socket_watch(ACE_Reactor &reactor, ACE_HANDLE descriptor, ready_function onReady);
    ~socket_watch() override;
    socket_watch(const socket_watch &) = delete;
    socket_watch &operator=(const socket_watch &) = delete;

    /**
     * Watches for any of READ_MASK and WRITE_MASK. NULL_MASK stops watching and closes the
     * duplicate, so that closing the descriptor closes the connection.
     */
    void watchFor(ACE_Reactor_Mask mask);

    /** Returns whether the descriptor is watched for input. */
    bool watchesInput() const noexcept { return (m_mask & READ_MASK) != 0; }

private:
    int handle_input(ACE_HANDLE descriptor) override;
    int handle_output(ACE_HANDLE descriptor) override;

    void stopWatching();

    ACE_Reactor &m_reactor;
    ACE_HANDLE m_descriptor;
    /** The registered duplicate; ACE_INVALID_HANDLE while not watching. */
    ACE_HANDLE m_duplicate = ACE_INVALID_HANDLE;
    ready_function m_onReady;
    ACE_Reactor_Mask m_mask = NULL_MASK;
};

} // namespace comfreypass::transport
