#include "node/local_mailbox.h"

#include <utility>

namespace comfreypass::node {

local_mailbox::local_mailbox(ACE_Reactor &reactor, deliver_function deliver)
    : m_deliver(std::move(deliver)), m_wakeUp(reactor, [this] { deliverAll(); })
{ }

void local_mailbox::post(wire::peer_message message)
{
    m_messages.push_back(std::move(message));
    if (!m_wakeUp.active())
        m_wakeUp.startOnce(core::duration::zero());
}

void local_mailbox::deliverAll()
{
    // Messages posted during delivery wait for the next reactor iteration, so that they cannot
    // starve other events.
    std::deque<wire::peer_message> messages;
    messages.swap(m_messages);
    for (wire::peer_message &message : messages)
        m_deliver(std::move(message));
    if (!m_messages.empty())
        m_wakeUp.startOnce(core::duration::zero());
}

} // namespace comfreypass::node
