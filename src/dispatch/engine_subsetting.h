#pragma once

#include "dispatch/engine_affinity.h"
#include "dispatch/engine_registry.h"
#include "dispatch/fleet_member.h"

#include <cstdint>
#include <map>
#include <span>
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
     * including this one, ordered by address.
     */
    void update(std::vector<node_location> nodes);

    /**
     * Returns the updates since the last call by the address of the receiver; the calling code sets
     * address, incarnation and sequence. Loads are sent to the nodes that prefer the engine,
     * ejections to all `peers`.
     */
    std::map<std::uint32_t, engine_update> takeUpdates(std::span<const std::uint32_t> peers);

private:
    std::uint32_t m_self;
    engine_registry &m_registry;
    std::vector<node_location> m_nodes;
    std::uint64_t m_registryVersion = 0;
    engine_affinity m_affinity;
};

} // namespace comfreypass::dispatch
