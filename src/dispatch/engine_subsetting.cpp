#include "dispatch/engine_subsetting.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

namespace comfreypass::dispatch {

bool engine_subsetting::update(std::vector<node_location> nodes)
{
    if (nodes == m_nodes && m_registry.membershipVersion() == m_registryVersion)
        return false;
    m_nodes = std::move(nodes);
    m_registryVersion = m_registry.membershipVersion();
    std::map<std::string, std::vector<engine_location>> engines;
    m_registry.forEach([&](const engine_entry &entry, engine_key key) {
        engines[entry.upstream].push_back({key, entry.domain});
    });
    m_affinity.clear();
    m_sharingNodes.clear();
    for (const auto &[upstream, locations] : engines) {
        engine_affinity assigned = assignEngines(m_nodes, locations);
        std::vector<engine_key> own;
        for (const auto &[key, addresses] : assigned) {
            if (std::ranges::find(addresses, m_self) == addresses.end())
                continue;
            own.push_back(key);
            m_sharingNodes[upstream].insert(addresses.begin(), addresses.end());
        }
        m_registry.setPreferred(upstream, own, !assigned.empty());
        m_affinity.merge(std::move(assigned));
    }
    return true;
}

engine_affinity engine_subsetting::peersOfPreferredEngines() const
{
    engine_affinity result;
    for (const auto &[key, addresses] : m_affinity) {
        if (std::ranges::find(addresses, m_self) == addresses.end())
            continue;
        std::vector<std::uint32_t> &peers = result[key];
        std::ranges::remove_copy(addresses, std::back_inserter(peers), m_self);
    }
    return result;
}

std::map<std::uint32_t, engine_update>
engine_subsetting::takeUpdates(std::span<const std::uint32_t> peers,
                               std::span<const node_status::queue_length> queues)
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
    for (const node_status::queue_length &queue : queues) {
        const auto found = m_sharingNodes.find(queue.upstream);
        if (found == m_sharingNodes.end())
            continue;
        for (const std::uint32_t address : found->second) {
            if (address != m_self)
                updates[address].queues.push_back(queue);
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
