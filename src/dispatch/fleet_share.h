#pragma once

#include <cstddef>

namespace comfreypass::dispatch {

/**
 * Share of this node in a bound on the whole fleet, based on the nodes that it knows.
 *
 * Unreachable nodes keep their share until they expire, so the shares of two partitions never add
 * up to more than the bound.
 */
struct fleet_share
{
    /** Nodes that have reported and are not expired, including this node. */
    std::size_t known = 1;
    /** Reachable nodes, including this node; at most `known`. */
    std::size_t reachable = 1;
    /** Position of this node among the known ones, in an order common to all nodes. */
    std::size_t rank = 0;

    /** Returns the fraction of the bound that belongs to the reachable nodes. */
    double reachableFraction() const noexcept
    {
        return static_cast<double>(reachable) / static_cast<double>(known);
    }
};

} // namespace comfreypass::dispatch
