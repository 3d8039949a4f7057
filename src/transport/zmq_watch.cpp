#include "transport/zmq_watch.h"

#include <ace/Reactor.h>
#include <ace/Time_Value.h>

#include <utility>

namespace comfreypass::transport {

zmq_watch::zmq_watch(ACE_Reactor &reactor, zmq::socket_t &socket, std::function<void()> onChange)
    : ACE_Event_Handler(&reactor), m_handle(socket.get(zmq::sockopt::fd)),
      m_onChange(std::move(onChange))
{
    reactor.register_handler(m_handle, this, ACE_Event_Handler::READ_MASK);
    // A change that precedes the registration is not signalled again.
    scheduleCall();
}

zmq_watch::~zmq_watch()
{
    reactor()->remove_handler(m_handle,
                              ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL);
    reactor()->cancel_timer(this);
}

void zmq_watch::scheduleCall()
{
    // Every reactor can cancel a timer, but not every one a pending notification.
    reactor()->schedule_timer(this, nullptr, ACE_Time_Value::zero);
}

int zmq_watch::handle_input(ACE_HANDLE /*handle*/)
{
    m_onChange();
    return 0;
}

int zmq_watch::handle_timeout(const ACE_Time_Value & /*now*/, const void * /*argument*/)
{
    m_onChange();
    return 0;
}

} // namespace comfreypass::transport
