#pragma once

#include <cstddef>

namespace comfreypass::dispatch {

/**
 * This node's part of a bound on the whole fleet, as far as the node knows the fleet.
 *
 * Nodes that are silent keep their part until they are forgotten, so the parts of two groups that
 * do not hear each other never add up to more than the bound.
 */
struct fleet_share
{
    /** Nodes heard of lately, this node included. */
    std::size_t known = 1;
    /** Nodes in touch now, this node included; at most `known`. */
    std::size_t reachable = 1;
    /** Position of this node among the known ones in an order that all nodes agree on. */
    std::size_t rank = 0;

    /** Part of the bound that the nodes in touch have together. */
    double reachableFraction() const noexcept
    {
        return static_cast<double>(reachable) / static_cast<double>(known);
    }
};

} // namespace comfreypass::dispatch
