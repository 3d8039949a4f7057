#include "dispatch/engine_affinity.h"

#include "core/hash.h"

#include <algorithm>
#include <array>
#include <cstring>
#include <map>
#include <string_view>
#include <utility>

namespace comfreypass::dispatch {

namespace {

/**
 * Nodes of one engine. Each further one costs a message for every start and end there; with fewer,
 * a node's few engines are full too often while others have room.
 */
constexpr std::size_t nodesPerEngine = 4;

/**
 * So many of them are in the engine's failure domain, which keeps bytes within it. The others keep
 * the nodes of a domain without usable engines supplied.
 */
constexpr std::size_t nodesInDomain = 2;

/** With a single engine each node would send on most requests by old loads. */
constexpr std::size_t leastEnginesPerNode = 2;

/** Rendezvous hashing: the nodes with the least ranks get the engine. */
std::uint64_t rankOf(const engine_location &engine, const node_location &node)
{
    std::array<char, sizeof(engine.key) + sizeof(node.address)> bytes{};
    std::memcpy(bytes.data(), &engine.key, sizeof(engine.key));
    std::memcpy(bytes.data() + sizeof(engine.key), &node.address, sizeof(node.address));
    return core::hash64(std::string_view(bytes.data(), bytes.size()));
}

std::size_t roundedUp(std::size_t total, std::size_t parts)
{
    return (total + parts - 1) / std::max<std::size_t>(parts, 1);
}

/** Gives engines to nodes one after another; no node gets more than its part. */
class engine_dealer
{
public:
    engine_dealer(std::span<const node_location> nodes, std::span<const engine_location> engines)
        : m_nodes(nodes), m_engines(engines.begin(), engines.end())
    {
        // All nodes must deal in the same order.
        std::ranges::sort(m_engines, {}, &engine_location::key);
        for (const node_location &each : nodes)
            ++m_nodesOf[each.domain];
        for (const engine_location &each : engines)
            ++m_enginesOf[each.domain];
    }

    /** Deals up to `count` nodes of the engine's domain to each engine. */
    void dealInDomains(std::size_t count)
    {
        deal(count, true, [&](const std::string &domain) {
            return roundedUp(m_enginesOf[domain] * count, m_nodesOf[domain]);
        });
    }

    /** Fills up to `count` nodes for each engine from the other domains. */
    void dealElsewhere(std::size_t count)
    {
        std::size_t missing = 0;
        for (const engine_location &each : m_engines)
            missing += count - std::min(count, m_result[each.key].size());
        const std::size_t most = roundedUp(missing, m_nodes.size());
        deal(count, false, [most](const std::string &) { return most; });
    }

    engine_affinity take() { return std::move(m_result); }

private:
    struct ranked_node
    {
        std::uint64_t rank;
        std::size_t index;
    };

    template<typename Most>
    void deal(std::size_t count, bool sameDomain, Most most)
    {
        std::vector<std::size_t> dealt(m_nodes.size(), 0);
        std::vector<ranked_node> ranked;
        for (const engine_location &engine : m_engines) {
            ranked.clear();
            for (std::size_t i = 0; i < m_nodes.size(); ++i) {
                const node_location &node = m_nodes[i];
                if ((node.domain == engine.domain) == sameDomain && dealt[i] < most(node.domain))
                    ranked.push_back({rankOf(engine, node), i});
            }
            std::ranges::sort(ranked, {}, &ranked_node::rank);
            std::vector<std::uint32_t> &chosen = m_result[engine.key];
            for (const ranked_node &each : ranked) {
                if (chosen.size() >= count)
                    break;
                ++dealt[each.index];
                chosen.push_back(m_nodes[each.index].address);
            }
        }
    }

    std::span<const node_location> m_nodes;
    std::vector<engine_location> m_engines;
    std::map<std::string, std::size_t> m_nodesOf;
    std::map<std::string, std::size_t> m_enginesOf;
    engine_affinity m_result;
};

} // namespace

engine_affinity assignEngines(std::span<const node_location> nodes,
                              std::span<const engine_location> engines)
{
    if (nodes.empty() || engines.size() * nodesPerEngine < nodes.size() * leastEnginesPerNode)
        return {};
    const bool oneDomain = std::ranges::all_of(
        nodes, [&](const node_location &each) { return each.domain == nodes.front().domain; });
    engine_dealer dealer(nodes, engines);
    dealer.dealInDomains(oneDomain ? nodesPerEngine : nodesInDomain);
    dealer.dealElsewhere(nodesPerEngine);
    return dealer.take();
}

} // namespace comfreypass::dispatch
