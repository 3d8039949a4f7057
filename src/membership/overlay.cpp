#include "membership/overlay.h"

#include "core/hash.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <tuple>
#include <utility>

namespace comfreypass::membership {

namespace {

void sortUnique(std::vector<core::node_name> &names)
{
    std::sort(names.begin(), names.end());
    names.erase(std::unique(names.begin(), names.end()), names.end());
}

} // namespace

overlay::overlay(core::node_name self) : m_self(std::move(self)) { }

void overlay::rebuild(std::span<const core::node_name> nodes)
{
    m_neighbours.clear();
    m_successors.clear();
    m_predecessors.clear();
    std::vector<const core::node_name *> others;
    others.reserve(nodes.size());
    for (const core::node_name &node : nodes) {
        if (node != m_self)
            others.push_back(&node);
    }
    if (others.empty())
        return;

    // Positions on a ring are ordered by hash, then by name in case of equal hashes.
    using ring_position = std::pair<std::uint64_t, const core::node_name *>;
    const auto precedes = [](const ring_position &left, const ring_position &right) {
        return std::tie(left.first, *left.second) < std::tie(right.first, *right.second);
    };
    for (std::size_t ring = 0; ring < ringCount; ++ring) {
        const ring_position own{core::hash64(m_self.text(), ring), &m_self};
        std::optional<ring_position> lowest;
        std::optional<ring_position> highest;
        std::optional<ring_position> next;
        std::optional<ring_position> previous;
        for (const core::node_name *other : others) {
            const ring_position position{core::hash64(other->text(), ring), other};
            if (!lowest || precedes(position, *lowest))
                lowest = position;
            if (!highest || precedes(*highest, position))
                highest = position;
            if (precedes(own, position) && (!next || precedes(position, *next)))
                next = position;
            if (precedes(position, own) && (!previous || precedes(*previous, position)))
                previous = position;
        }
        m_successors.push_back(*next.value_or(*lowest).second);
        m_predecessors.push_back(*previous.value_or(*highest).second);
    }
    sortUnique(m_successors);
    sortUnique(m_predecessors);

    if (others.size() < fullMeshNodes) {
        for (const core::node_name *other : others)
            m_neighbours.push_back(*other);
    } else {
        m_neighbours = m_successors;
        m_neighbours.insert(m_neighbours.end(), m_predecessors.begin(), m_predecessors.end());
    }
    sortUnique(m_neighbours);
}

} // namespace comfreypass::membership
