#include "membership/confirmation.h"

#include <algorithm>

namespace comfreypass::membership {

void confirmation::onServiceRead(const sheet::sheet_key &newest, const sheet::sheet_key &ownKey,
                                 core::time_point asOf)
{
    // A smaller key means that the service is stale and does not confirm anything. A greater key
    // that is not in force here means that this node is behind.
    if (newest == ownKey)
        advance(asOf);
}

void confirmation::onAck(const sheet::sheet_key &peerKey, const sheet::sheet_key &ownKey,
                         std::optional<core::duration> peerAge, core::time_point pingSentAt)
{
    if (!peerAge || *peerAge < core::duration::zero() || peerKey > ownKey)
        return;
    advance(pingSentAt - *peerAge);
}

void confirmation::expire(core::time_point now)
{
    m_knownAt.reset();
    m_notBefore = now;
}

std::optional<core::duration> confirmation::age(core::time_point now) const
{
    if (!m_knownAt)
        return std::nullopt;
    return std::max(now - *m_knownAt, core::duration::zero());
}

void confirmation::advance(core::time_point knownAt)
{
    if (m_notBefore && knownAt < *m_notBefore)
        return;
    if (!m_knownAt || knownAt > *m_knownAt)
        m_knownAt = knownAt;
}

} // namespace comfreypass::membership
