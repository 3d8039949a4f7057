#include "gateway/source_monitor.h"

#include <algorithm>

namespace comfreypass::gateway {

using dispatch::source_state;

void source_monitor::setReading(bool reading)
{
    m_reading = reading;
    m_collections.fill(availability::Unknown);
}

void source_monitor::onAvailability(collection_id collection, bool available)
{
    m_collections.at(static_cast<std::size_t>(collection))
        = available ? availability::Available : availability::Lost;
}

source_state source_monitor::state() const
{
    if (!m_reading)
        return source_state::NotRead;
    if (std::ranges::find(m_collections, availability::Lost) != m_collections.end())
        return source_state::Lost;
    const bool answered
        = std::ranges::find(m_collections, availability::Unknown) == m_collections.end();
    return answered ? source_state::Working : source_state::Starting;
}

core::time_point source_monitor::removalsHeldUntil(bool availableAtPeer, bool lostAtPeer,
                                                   core::time_point now)
{
    const source_state own = state();
    const bool available = own == source_state::Working || availableAtPeer;
    const bool lost = own == source_state::Lost || lostAtPeer;
    if (lost && !available)
        m_heldUntil = now + expiredEntryRetention;
    return m_heldUntil;
}

} // namespace comfreypass::gateway
