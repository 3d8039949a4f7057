#pragma once

#include <ace/Event_Handler.h>
#include <zmq.hpp>

#include <functional>

namespace comfreypass::transport {

/**
 * Calls a function in the reactor's thread whenever the state of a ZeroMQ socket may have changed.
 *
 * ZeroMQ's descriptor is edge-triggered, so the function must send or receive until the socket
 * would block. Not thread-safe.
 */
class zmq_watch : private ACE_Event_Handler
{
public:
    /** Schedules a first call of the function. Reactor and socket must outlive this object. */
    zmq_watch(ACE_Reactor &reactor, zmq::socket_t &socket, std::function<void()> onChange);
    ~zmq_watch() override;

    zmq_watch(const zmq_watch &) = delete;
    zmq_watch &operator=(const zmq_watch &) = delete;

    /** Schedules another call of the function, after other events of the reactor. */
    void scheduleCall();

private:
    int handle_input(ACE_HANDLE handle) override;
    int handle_timeout(const ACE_Time_Value &now, const void *argument) override;

    ACE_HANDLE m_handle;
    std::function<void()> m_onChange;
};

} // namespace comfreypass::transport
