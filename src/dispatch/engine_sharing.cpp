#include "dispatch/engine_sharing.h"

#include <algorithm>
#include <string>
#include <utility>

namespace comfreypass::dispatch {

void engine_sharing::update(std::vector<node_place> nodes)
{
    if (nodes == m_nodes && m_board.membershipVersion() == m_boardVersion)
        return;
    m_nodes = std::move(nodes);
    m_boardVersion = m_board.membershipVersion();
    std::map<std::string, std::vector<engine_place>> engines;
    m_board.forEach([&](const engine_entry &entry, engine_key key) {
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
        m_board.setPreferred(upstream, own, !assigned.empty());
        m_affinity.merge(std::move(assigned));
    }
}

std::map<std::uint32_t, engine_news> engine_sharing::takeNews(std::span<const std::uint32_t> peers)
{
    std::map<std::uint32_t, engine_news> news;
    for (const engine_load &load : m_board.takeLoadChanges()) {
        const auto found = m_affinity.find(load.engine);
        if (found == m_affinity.end())
            continue;
        for (const std::uint32_t address : found->second) {
            if (address != m_self)
                news[address].loads.push_back(load);
        }
    }
    const std::vector<engine_key> avoided = m_board.takeAvoided();
    if (avoided.empty())
        return news;
    for (const std::uint32_t address : peers)
        news[address].avoided = avoided;
    return news;
}

} // namespace comfreypass::dispatch
