#pragma once

#include "core/name.h"

#include <cstddef>
#include <span>
#include <vector>

namespace comfreypass::membership {

/**
 * Neighbours of this node: its predecessor and successor on each of 5 rings ordered by
 * hash(name, ring), or all other nodes of a small fleet. Every node computes the same rings from
 * the same set of names. Not thread-safe.
 */
class overlay
{
public:
    static constexpr std::size_t ringCount = 5;
    /** Up to this fleet size all nodes are neighbours; the rings would include almost all anyway.
     */
    static constexpr std::size_t fullMeshNodes = 11;

    explicit overlay(core::node_name self);

    /** Computes the neighbours from the names of all nodes in the overlay. */
    void rebuild(std::span<const core::node_name> nodes);

    /** Returns the neighbours without duplicates, ordered by name. */
    const std::vector<core::node_name> &neighbours() const noexcept { return m_neighbours; }
    /** Returns the next node on each ring, without duplicates, ordered by name. */
    const std::vector<core::node_name> &successors() const noexcept { return m_successors; }
    /** Returns the previous node on each ring, without duplicates, ordered by name. */
    const std::vector<core::node_name> &predecessors() const noexcept { return m_predecessors; }

private:
    core::node_name m_self;
    std::vector<core::node_name> m_neighbours;
    std::vector<core::node_name> m_successors;
    std::vector<core::node_name> m_predecessors;
};

} // namespace comfreypass::membership
