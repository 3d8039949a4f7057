#pragma once

#include "core/name.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace comfreypass::core {

/** Returns the weight of a node for a key; the node with the highest weight owns the key.
 * Thread-safe. */
std::uint64_t rendezvousWeight(std::string_view key, const node_name &node) noexcept;

/**
 * Returns the `count` nodes with the highest weight for a key, in descending order (all nodes if
 * there are fewer). Ties are broken by name, so equal sets produce equal orders on every instance.
 * Thread-safe.
 */
std::vector<node_name> rendezvousRank(std::string_view key, std::span<const node_name> nodes,
                                      std::size_t count);

} // namespace comfreypass::core
