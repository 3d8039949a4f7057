#pragma once

#include "core/name.h"

#include <cstddef>
#include <span>
#include <vector>

namespace comfreypass::membership {

/**
 * Neighbours of this node: its predecessor and successor on each of 5 rings that are ordered by
 * hash(name, ring); everyone in a small fleet. Equal sets give equal rings on every node. Not
 * thread-safe.
 */
class overlay
{
public:
    static constexpr std::size_t ringCount = 5;
    /** Up to this fleet size the rings would hold almost everyone, so all are neighbours. */
    static constexpr std::size_t fullMeshNodes = 11;

    explicit overlay(core::node_name self);

    /** Computes the neighbours from all nodes that belong in the overlay. */
    void rebuild(std::span<const core::node_name> nodes);

    /** Neighbours without duplicates, ordered by name. */
    const std::vector<core::node_name> &neighbours() const noexcept { return m_neighbours; }
    /** The next node on each ring, without duplicates, ordered by name. */
    const std::vector<core::node_name> &successors() const noexcept { return m_successors; }
    /** The previous node on each ring, without duplicates, ordered by name. */
    const std::vector<core::node_name> &predecessors() const noexcept { return m_predecessors; }

private:
    core::node_name m_self;
    std::vector<core::node_name> m_neighbours;
    std::vector<core::node_name> m_successors;
    std::vector<core::node_name> m_predecessors;
};

} // namespace comfreypass::membership
