#include "dispatch/engine_subsetting.h"

#include <algorithm>
#include <string>
#include <utility>

namespace comfreypass::dispatch {

void engine_subsetting::update(std::vector<node_location> nodes)
{
    if (nodes == m_nodes && m_registry.membershipVersion() == m_boardVersion)
        return;
    m_nodes = std::move(nodes);
    m_boardVersion = m_registry.membershipVersion();
    std::map<std::string, std::vector<engine_location>> engines;
    m_registry.forEach([&](const engine_entry &entry, engine_key key) {
        engines[entry.upstream].push_back({key, entry.domain});
    });
    m_affinity.clear();
    for (const auto &[upstream, places] : engines) {
        engine_affinity assigned = assignEngines(m_nodes, places);
        std::vector<engine_key> own;
        for (const auto &[key, addresses] : assigned) {
            if (std::ranges::find(addresses, m_self) != addresses.end())
                own.push_back(key);
        }
        m_registry.setPreferred(upstream, own, !assigned.empty());
        m_affinity.merge(std::move(assigned));
    }
}

std::map<std::uint32_t, engine_update>
engine_subsetting::takeUpdates(std::span<const std::uint32_t> peers)
{
    std::map<std::uint32_t, engine_update> updates;
    for (const engine_load &load : m_registry.takeLoadChanges()) {
        const auto found = m_affinity.find(load.engine);
        if (found == m_affinity.end())
            continue;
        for (const std::uint32_t address : found->second) {
            if (address != m_self)
                updates[address].loads.push_back(load);
        }
    }
    const std::vector<engine_key> ejected = m_registry.takeEjected();
    if (ejected.empty())
        return updates;
    for (const std::uint32_t address : peers)
        updates[address].ejected = ejected;
    return updates;
}

} // namespace comfreypass::dispatch
