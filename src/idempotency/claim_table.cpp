#include "idempotency/claim_table.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

namespace comfreypass::idempotency {

claim_table::claim_table(core::node_identity self, claim_settings settings)
    : m_self(std::move(self)), m_settings(settings)
{ }

claim_start claim_table::begin(const request_key &key, const witness_token &token,
                               core::time_point deadline, core::time_point now, bool repeat)
{
    claim_start start;
    removeExpiredKeys(now);
    start.known = state(key);
    if (start.known != key_state::Free) {
        start.result = claim_start::status::Known;
        return start;
    }
    if (token.witnesses.size() < witnessMajority || deadline <= now)
        return start;
    if (m_keyOfRound.size() >= m_settings.maxOpenRounds || m_keys.size() >= m_settings.maxKeys) {
        start.result = claim_start::status::Full;
        return start;
    }
    const std::uint64_t sequence = ++m_lastSequence;
    entry &added = m_keys[key];
    added.sequence = sequence;
    added.repeat = repeat;
    added.round.emplace(m_self, key, token, sequence, m_settings, now, deadline);
    m_keyOfRound.emplace(sequence, key);
    start.result = claim_start::status::Started;
    start.messages = added.round->due(now);
    return start;
}

std::optional<claim_outcome> claim_table::onReply(const core::node_identity &sender,
                                                  const claim_reply &reply)
{
    const auto found = m_keyOfRound.find(reply.sequence);
    if (found == m_keyOfRound.end())
        return std::nullopt;
    const request_key key = found->second;
    m_keys.at(key).round->onReply(sender, reply);
    return endIfDecided(key);
}

claim_step claim_table::onTime(core::time_point now)
{
    claim_step step;
    removeExpiredKeys(now);
    for (auto next = m_keyOfRound.begin(); next != m_keyOfRound.end();) {
        // The iterator is advanced first, because the end of a round removes it from the map.
        const request_key key = (next++)->second;
        claim_round &round = *m_keys.at(key).round;
        round.onTime(now);
        if (std::optional<claim_outcome> outcome = endIfDecided(key)) {
            step.ended.push_back(std::move(*outcome));
            continue;
        }
        std::vector<outgoing_claim> due = round.due(now);
        std::move(due.begin(), due.end(), std::back_inserter(step.messages));
    }
    return step;
}

std::optional<core::time_point> claim_table::nextTime() const
{
    std::optional<core::time_point> earliest;
    for (const auto &[sequence, key] : m_keyOfRound) {
        const core::time_point next = m_keys.at(key).round->nextTime();
        earliest = earliest.has_value() ? std::min(*earliest, next) : next;
    }
    return earliest;
}

key_state claim_table::state(const request_key &key) const
{
    const auto found = m_keys.find(key);
    return found == m_keys.end() ? key_state::Free : found->second.state;
}

bool claim_table::dispatch(const request_key &key, core::time_point now)
{
    const auto found = m_keys.find(key);
    if (found == m_keys.end() || found->second.state != key_state::Owned)
        return false;
    found->second.state = key_state::Dispatched;
    m_expiry.emplace(now + m_settings.retention, key);
    return true;
}

void claim_table::abandonOwned(const request_key &key)
{
    if (state(key) == key_state::Owned)
        m_keys.erase(key);
}

void claim_table::abandonRound(const request_key &key)
{
    const auto found = m_keys.find(key);
    if (found == m_keys.end() || found->second.state != key_state::Claiming)
        return;
    m_keyOfRound.erase(found->second.sequence);
    m_keys.erase(found);
}

void claim_table::finish(const request_key &key)
{
    const auto found = m_keys.find(key);
    if (found != m_keys.end() && found->second.state == key_state::Dispatched)
        found->second.state = key_state::Finished;
}

std::optional<claim_outcome> claim_table::endIfDecided(const request_key &key)
{
    entry &claimed = m_keys.at(key);
    claim_outcome outcome = claimed.round->outcome();
    if (outcome.decision == claim_decision::Open)
        return std::nullopt;
    outcome.repeat = claimed.repeat;
    m_keyOfRound.erase(claimed.sequence);
    claimed.round.reset();
    claimed.state = key_state::Owned;
    if (outcome.decision != claim_decision::Won)
        m_keys.erase(key);
    return outcome;
}

void claim_table::removeExpiredKeys(core::time_point now)
{
    while (!m_expiry.empty() && m_expiry.begin()->first <= now) {
        const auto oldest = m_expiry.extract(m_expiry.begin());
        if (state(oldest.mapped()) == key_state::Finished)
            m_keys.erase(oldest.mapped());
        else
            m_expiry.emplace(now + m_settings.runningRecheck, oldest.mapped());
    }
}

} // namespace comfreypass::idempotency
