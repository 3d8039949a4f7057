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
 * Shares the engines of each upstream out among the nodes, and tells which nodes must hear of what
 * happened at an engine. Not thread-safe.
 */
class engine_subsetting
{
public:
    /** The board must outlive the object. */
    engine_subsetting(std::uint32_t self, engine_registry &registry)
        : m_self(self), m_registry(registry)
    { }

    /**
     * Shares the engines out anew if nodes or engines have changed. `nodes` are those in touch,
     * this one included, ordered by address.
     */
    void update(std::vector<node_location> nodes);

    /**
     * What happened at this node's engines since the last call, by the address of the node to tell;
     * address, life and sequence are left to the caller. Loads go to the nodes that prefer the
     * engine, engines out of order to all `peers`.
     */
    std::map<std::uint32_t, engine_update> takeUpdates(std::span<const std::uint32_t> peers);

private:
    std::uint32_t m_self;
    engine_registry &m_registry;
    std::vector<node_location> m_nodes;
    std::uint64_t m_boardVersion = 0;
    engine_affinity m_affinity;
};

} // namespace comfreypass::dispatch
