#pragma once

#include "dispatch/engine_registry.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace comfreypass::dispatch {

/** A node, as far as the choice of its engines needs it. */
struct node_location
{
    /** IPv4 address in host byte order; names the node. */
    std::uint32_t address = 0;
    std::string domain;

    bool operator==(const node_location &) const = default;
};

/** An engine, as far as the choice of its nodes needs it. */
struct engine_location
{
    engine_key key = 0;
    std::string domain;
};

/** Addresses of the nodes that prefer each engine. */
using engine_affinity = std::unordered_map<engine_key, std::vector<std::uint32_t>>;

/**
 * Chooses a few nodes for each engine of one upstream.
 *
 * These nodes go to the engine first and hear of each start and end there at once, so they know its
 * free slots almost exactly, which a large fleet cannot tell everyone. Engines go to nodes evenly,
 * half of them within their failure domain. Nodes with the same view get the same result, and a
 * node that leaves moves few others. Empty if there are too few engines for each node to get
 * at least two. Thread-safe.
 */
engine_affinity assignEngines(std::span<const node_location> nodes,
                              std::span<const engine_location> engines);

} // namespace comfreypass::dispatch
