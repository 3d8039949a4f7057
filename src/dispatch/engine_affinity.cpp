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
 * Each additional node costs one message per start and completion at the engine. With fewer nodes,
 * the few engines of a node are too often full while others have free capacity.
 */
constexpr std::size_t minNodesPerEngine = 4;

/** Limits the messages while many engines of a large fleet are out of service. */
constexpr std::size_t maxNodesPerEngine = 6;

/** Nodes per engine including those that would otherwise have too few engines. */
constexpr std::size_t maxNodesPerEngineWithExtra = 8;

/** With a single preferred engine, nodes would place most requests by outdated loads. */
constexpr std::size_t minEnginesPerNode = 2;

/** Rendezvous hashing: the engine is assigned to the nodes with the lowest ranks. */
std::uint64_t rankOf(const engine_location &engine, const node_location &node)
{
    std::array<char, sizeof(engine.key) + sizeof(node.address)> bytes{};
    std::memcpy(bytes.data(), &engine.key, sizeof(engine.key));
    std::memcpy(bytes.data() + sizeof(engine.key), &node.address, sizeof(node.address));
    return core::hash64(std::string_view(bytes.data(), bytes.size()));
}

std::size_t ceilDivide(std::size_t total, std::size_t divisor)
{
    return (total + divisor - 1) / std::max<std::size_t>(divisor, 1);
}

/** Returns the number of nodes for each engine that gives every node its minimum of engines. */
std::size_t nodesPerEngine(std::size_t nodes, std::size_t engines)
{
    return std::max(minNodesPerEngine, ceilDivide(nodes * minEnginesPerNode, engines));
}

/** Assigns nodes to one engine after another, with an upper bound on the engines per node. */
class engine_assigner
{
public:
    engine_assigner(std::span<const node_location> nodes, std::span<const engine_location> engines)
        : m_nodes(nodes), m_engines(engines.begin(), engines.end())
    {
        // All nodes must process the engines in the same order.
        std::ranges::sort(m_engines, {}, &engine_location::key);
        for (const node_location &each : nodes)
            ++m_nodesOf[each.domain];
        for (const engine_location &each : engines)
            ++m_enginesOf[each.domain];
    }

    /** Assigns up to `count` nodes of the engine's domain to each engine. */
    void assignInDomains(std::size_t count)
    {
        assign(count, true, [&](const std::string &domain) {
            return ceilDivide(m_enginesOf[domain] * count, m_nodesOf[domain]);
        });
    }

    /** Fills up each engine to `count` nodes from the other domains. */
    void assignAcrossDomains(std::size_t count)
    {
        std::size_t missing = 0;
        for (const engine_location &each : m_engines)
            missing += count - std::min(count, m_result[each.key].size());
        const std::size_t maxPerNode = ceilDivide(missing, m_nodes.size());
        assign(count, false, [maxPerNode](const std::string &) { return maxPerNode; });
    }

    /** Adds engines to the nodes that hashing left with fewer than `count`. */
    void addToNodesBelow(std::size_t count)
    {
        std::map<std::uint32_t, std::size_t> assigned;
        for (const auto &[key, addresses] : m_result) {
            for (const std::uint32_t address : addresses)
                ++assigned[address];
        }
        for (const node_location &node : m_nodes) {
            for (std::size_t number = assigned[node.address]; number < count; ++number)
                addEngine(node);
        }
    }

    engine_affinity takeResult() { return std::move(m_result); }

private:
    struct ranked_node
    {
        std::uint64_t rank;
        std::size_t index;
    };

    template<typename MaxPerNode>
    void assign(std::size_t count, bool sameDomain, MaxPerNode maxPerNode)
    {
        std::vector<std::size_t> assigned(m_nodes.size(), 0);
        std::vector<ranked_node> ranked;
        for (const engine_location &engine : m_engines) {
            ranked.clear();
            for (std::size_t i = 0; i < m_nodes.size(); ++i) {
                const node_location &node = m_nodes[i];
                if ((node.domain == engine.domain) == sameDomain
                    && assigned[i] < maxPerNode(node.domain))
                    ranked.push_back({rankOf(engine, node), i});
            }
            std::ranges::sort(ranked, {}, &ranked_node::rank);
            std::vector<std::uint32_t> &chosen = m_result[engine.key];
            for (const ranked_node &each : ranked) {
                if (chosen.size() >= count)
                    break;
                ++assigned[each.index];
                chosen.push_back(m_nodes[each.index].address);
            }
        }
    }

    // Adds the node to the engine with the lowest rank, in its own domain if possible.
    void addEngine(const node_location &node)
    {
        const engine_location *best = nullptr;
        for (const engine_location &each : m_engines) {
            const std::vector<std::uint32_t> &addresses = m_result[each.key];
            if (addresses.size() >= maxNodesPerEngineWithExtra
                || std::ranges::find(addresses, node.address) != addresses.end())
                continue;
            const auto order = [&node](const engine_location &engine) {
                return std::pair(engine.domain != node.domain, rankOf(engine, node));
            };
            if (best == nullptr || order(each) < order(*best))
                best = &each;
        }
        if (best != nullptr)
            m_result[best->key].push_back(node.address);
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
    const std::size_t count = nodesPerEngine(nodes.size(), engines.size());
    if (nodes.empty() || count > maxNodesPerEngine)
        return {};
    const bool oneDomain = std::ranges::all_of(
        nodes, [&](const node_location &each) { return each.domain == nodes.front().domain; });
    engine_assigner assigner(nodes, engines);
    // Nodes in the domain of the engine keep traffic there; the others serve nodes whose domain has
    // no usable engines.
    assigner.assignInDomains(oneDomain ? count : count / 2);
    assigner.assignAcrossDomains(count);
    assigner.addToNodesBelow(minEnginesPerNode);
    return assigner.takeResult();
}

} // namespace comfreypass::dispatch
