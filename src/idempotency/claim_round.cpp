#include "idempotency/claim_round.h"

#include <algorithm>
#include <utility>

namespace comfreypass::idempotency {

claim_round::claim_round(core::node_identity self, const request_key &key,
                         const witness_token &token, std::uint64_t sequence,
                         const claim_settings &settings, core::time_point now,
                         core::time_point deadline)
    : m_self(std::move(self)), m_key(key), m_sequence(sequence),
      m_resendAfter(settings.resendAfter), m_end(std::min(now + settings.roundTimeout, deadline)),
      m_nextSend(now)
{
    m_ballots.reserve(token.witnesses.size());
    for (const witness_ref &witness : token.witnesses)
        m_ballots.push_back({witness, std::nullopt, {}});
    decide();
    onTime(now);
}

std::vector<outgoing_claim> claim_round::due(core::time_point now)
{
    std::vector<outgoing_claim> messages;
    if (m_decision != claim_decision::Open || now < m_nextSend)
        return messages;
    m_nextSend = now + m_resendAfter;
    for (const ballot &entry : m_ballots) {
        if (entry.result.has_value())
            continue;
        const witness_ref &witness = entry.witness;
        messages.push_back(
            {witness.node.name, {m_sequence, m_key, witness.node.incarnation, witness.epoch}});
    }
    return messages;
}

void claim_round::onReply(const core::node_identity &sender, const claim_reply &reply)
{
    if (m_decision != claim_decision::Open)
        return;
    for (ballot &entry : m_ballots) {
        if (!isValidReply(entry, sender, reply))
            continue;
        entry.result = reply.result;
        entry.owner = reply.owner;
    }
    decide();
}

bool claim_round::isValidReply(const ballot &entry, const core::node_identity &sender,
                               const claim_reply &reply) const
{
    const bool matchesRound
        = entry.witness.node.name == sender.name && reply.sequence == m_sequence;
    if (!matchesRound || entry.result.has_value())
        return false;
    // A restarted witness can only refuse, because it has lost the records of the incarnation in
    // the token.
    if (reply.result == claim_result::Refused)
        return true;
    const bool ownedBySelf = reply.owner == m_self;
    return entry.witness.node.incarnation == sender.incarnation
           && ownedBySelf == (reply.result == claim_result::Accepted);
}

void claim_round::decide()
{
    std::size_t accepted = 0;
    std::size_t open = 0;
    for (const ballot &entry : m_ballots) {
        if (!entry.result.has_value())
            ++open;
        else if (*entry.result == claim_result::Accepted)
            ++accepted;
    }
    if (accepted >= witnessMajority) {
        m_decision = claim_decision::Won;
        return;
    }
    if (accepted + open >= witnessMajority)
        return;
    m_decision = claim_decision::Failed;
    for (const ballot &entry : m_ballots) {
        const auto namesSameOwner = [&](const ballot &other) {
            return other.result == claim_result::OwnedByOther && other.owner == entry.owner;
        };
        const auto votes = std::count_if(m_ballots.begin(), m_ballots.end(), namesSameOwner);
        if (static_cast<std::size_t>(votes) >= witnessMajority)
            m_decision = claim_decision::Lost;
    }
}

void claim_round::onTime(core::time_point now)
{
    if (m_decision == claim_decision::Open && now >= m_end)
        m_decision = claim_decision::Failed;
}

core::time_point claim_round::nextTime() const noexcept
{
    return std::min(m_nextSend, m_end);
}

claim_outcome claim_round::outcome() const
{
    claim_outcome result{m_key, m_decision, std::nullopt, false};
    if (m_decision == claim_decision::Won)
        return result;
    for (const ballot &entry : m_ballots) {
        if (entry.result != claim_result::OwnedByOther)
            continue;
        const auto namesSameOwner = [&](const ballot &other) {
            return other.owner == entry.owner;
        };
        const bool majority = std::count_if(m_ballots.begin(), m_ballots.end(), namesSameOwner)
                              >= static_cast<std::ptrdiff_t>(witnessMajority);
        if (!result.otherOwner.has_value() || majority)
            result.otherOwner = entry.owner;
    }
    return result;
}

} // namespace comfreypass::idempotency
