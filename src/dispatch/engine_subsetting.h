#pragma once

#include "dispatch/engine_affinity.h"
#include "dispatch/engine_registry.h"
#include "dispatch/fleet_member.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace comfreypass::dispatch {

/**
 * Computes the subset of preferred engines of this node, and the updates to send to other nodes
 * that prefer the same engines. Not thread-safe.
 */
class engine_subsetting
{
public:
    /** The registry must outlive the object. */
    engine_subsetting(std::uint32_t self, engine_registry &registry)
        : m_self(self), m_registry(registry)
    { }

    /**
     * Recomputes the subsets if nodes or engines have changed. `nodes` are the reachable nodes
     * including this one, ordered by address. Returns true if they were recomputed.
     */
    bool update(std::vector<node_location> nodes);

    /**
     * Returns the updates since the last call by the address of the receiver; the calling code sets
     * address, incarnation and sequence. Loads are sent to the nodes that prefer the engine,
     * ejections to all `peers`, and each of the `queues` to the nodes that prefer an engine of its
     * upstream that this node prefers, too.
     */
    std::map<std::uint32_t, engine_update>
    takeUpdates(std::span<const std::uint32_t> peers,
                std::span<const node_status::queue_length> queues = {});

    /** Returns the other nodes that prefer each engine that this node prefers. */
    engine_affinity peersOfPreferredEngines() const;

private:
    std::uint32_t m_self;
    engine_registry &m_registry;
    std::vector<node_location> m_nodes;
    std::uint64_t m_registryVersion = 0;
    engine_affinity m_affinity;
    /** The nodes that share a preferred engine of an upstream with this one. */
    std::map<std::string, std::set<std::uint32_t>, std::less<>> m_sharingNodes;
};

} // namespace comfreypass::dispatch
