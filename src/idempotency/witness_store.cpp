#include "idempotency/witness_store.h"

#include <algorithm>

namespace comfreypass::idempotency {

witness_store::witness_store(core::incarnation incarnation, core::time_point started,
                             witness_settings settings)
    : m_incarnation(incarnation), m_started(started), m_settings(settings)
{ }

std::uint64_t witness_store::epoch(core::time_point now) const
{
    const core::duration age = std::max(now - m_started, core::duration{});
    return static_cast<std::uint64_t>(age / m_settings.epochLength);
}

claim_reply witness_store::onClaim(const core::node_identity &owner, const claim &message,
                                   core::time_point now)
{
    expire(now);
    claim_reply reply{message.sequence, claim_result::Refused, {}};
    if (message.witnessIncarnation != m_incarnation || !inWindow(message.witnessEpoch, epoch(now)))
        return reply;

    auto found = m_records.find(message.key);
    if (found == m_records.end()) {
        if (m_records.size() >= m_settings.maxRecords)
            return reply;
        found = m_records.emplace(message.key, record{owner, message.witnessEpoch}).first;
        m_keysByEpoch[message.witnessEpoch].push_back(message.key);
    } else if (message.witnessEpoch > found->second.epoch) {
        // The record must be kept for as long as any claim of the key can still be accepted.
        found->second.epoch = message.witnessEpoch;
        m_keysByEpoch[message.witnessEpoch].push_back(message.key);
    }
    reply.owner = found->second.owner;
    reply.result = reply.owner == owner ? claim_result::Accepted : claim_result::OwnedByOther;
    return reply;
}

void witness_store::expire(core::time_point now)
{
    const std::uint64_t current = epoch(now);
    while (!m_keysByEpoch.empty() && !inWindow(m_keysByEpoch.begin()->first, current)) {
        const auto oldest = m_keysByEpoch.begin();
        for (const request_key &key : oldest->second) {
            const auto found = m_records.find(key);
            if (found != m_records.end() && found->second.epoch == oldest->first)
                m_records.erase(found);
        }
        m_keysByEpoch.erase(oldest);
    }
}

bool witness_store::inWindow(std::uint64_t named, std::uint64_t current) const
{
    return named <= current && current - named <= m_settings.earlierEpochs;
}

} // namespace comfreypass::idempotency
