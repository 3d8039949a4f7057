#include "node/claim_client.h"

#include <utility>

namespace comfreypass::node {

claim_client::claim_client(message_sender &sender, const core::node_identity &self,
                           core::time_point start, idempotency::claim_settings settings)
    : m_sender(sender), m_table(self, settings), m_witness(self.incarnation, start)
{ }

idempotency::claim_start claim_client::begin(const idempotency::request_key &key,
                                             const idempotency::witness_token &token,
                                             core::time_point deadline,
                                             std::weak_ptr<claim_events> events,
                                             core::time_point now, bool repeat)
{
    idempotency::claim_start start = m_table.begin(key, token, deadline, now, repeat);
    if (start.result == idempotency::claim_start::status::Started) {
        m_events.insert_or_assign(key, std::move(events));
        send(start.messages);
    }
    return start;
}

bool claim_client::dispatch(const idempotency::request_key &key, core::time_point now)
{
    return m_table.dispatch(key, now);
}

void claim_client::abandon(const idempotency::request_key &key)
{
    m_events.erase(key);
    if (m_table.state(key) == idempotency::key_state::Claiming)
        m_table.abandonRound(key);
    else
        m_table.abandonOwned(key);
}

void claim_client::finish(const idempotency::request_key &key,
                          std::optional<idempotency::stored_response> response)
{
    m_table.finish(key);
    if (response)
        m_responses.insert(key, std::move(*response));
}

idempotency::key_state claim_client::state(const idempotency::request_key &key) const
{
    return m_table.state(key);
}

const idempotency::stored_response *claim_client::response(const idempotency::request_key &key)
{
    return m_responses.find(key);
}

void claim_client::onClaim(const core::node_identity &from, const idempotency::claim &message,
                           core::time_point now)
{
    m_sender.send(from.name, m_witness.onClaim(from, message, now));
}

void claim_client::onReply(const core::node_identity &from, const idempotency::claim_reply &reply)
{
    if (const auto outcome = m_table.onReply(from, reply))
        report(*outcome);
}

void claim_client::tick(core::time_point now)
{
    m_witness.expire(now);
    const idempotency::claim_step step = m_table.onTime(now);
    send(step.messages);
    for (const idempotency::claim_outcome &outcome : step.ended)
        report(outcome);
}

void claim_client::send(const std::vector<idempotency::outgoing_claim> &messages)
{
    for (const idempotency::outgoing_claim &outgoing : messages)
        m_sender.send(outgoing.to, outgoing.message);
}

void claim_client::report(const idempotency::claim_outcome &outcome)
{
    const auto node = m_events.extract(outcome.key);
    if (node.empty())
        return;
    if (const std::shared_ptr<claim_events> events = node.mapped().lock())
        events->onClaimEnded(outcome);
    else
        abandon(outcome.key);
}

} // namespace comfreypass::node
