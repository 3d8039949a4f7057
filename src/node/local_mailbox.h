#pragma once

#include "transport/reactor_timer.h"
#include "wire/peer_message.h"

#include <ace/Reactor.h>

#include <deque>
#include <functional>

namespace comfreypass::node {

/** Queues messages of a node to itself and delivers them from the reactor, so that message handlers
 * are never nested. */
class local_mailbox
{
public:
    using deliver_function = std::function<void(wire::peer_message &&)>;

    /** The reactor must outlive the mailbox. */
    local_mailbox(ACE_Reactor &reactor, deliver_function deliver);

    void post(wire::peer_message message);

private:
    void deliverAll();

    deliver_function m_deliver;
    std::deque<wire::peer_message> m_messages;
    transport::reactor_timer m_wakeUp;
};

} // namespace comfreypass::node
