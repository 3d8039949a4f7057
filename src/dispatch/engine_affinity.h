#pragma once

#include "dispatch/engine_registry.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace comfreypass::dispatch {

/** The properties of a node that determine its engines. */
struct node_location
{
    /** IPv4 address in host byte order; identifies the node. */
    std::uint32_t address = 0;
    std::string domain;

    bool operator==(const node_location &) const = default;
};

/** The properties of an engine that determine its nodes. */
struct engine_location
{
    engine_key key = 0;
    std::string domain;
};

/** Addresses of the nodes that prefer each engine. */
using engine_affinity = std::unordered_map<engine_key, std::vector<std::uint32_t>>;

/**
 * Assigns four to eight nodes to each engine of one upstream.
 *
 * These nodes prefer the engine and receive each start and completion there immediately, so they
 * know its free slots almost exactly. A large fleet cannot send these updates to all nodes. Engines
 * are distributed evenly, and half of the nodes of each engine are in its failure domain. Nodes
 * with the same view compute the same result, and a node that leaves changes few other assignments.
 * The result is empty if there are too few engines to assign at least two to each node.
 * Thread-safe.
 */
engine_affinity assignEngines(std::span<const node_location> nodes,
                              std::span<const engine_location> engines);

} // namespace comfreypass::dispatch
