#include "core/rendezvous.h"

#include "core/hash.h"

#include <algorithm>
#include <utility>

namespace comfreypass::core {

std::uint64_t rendezvousWeight(std::string_view key, const node_name &node) noexcept
{
    return hash64(node.text(), hash64(key));
}

std::vector<node_name> rendezvousRank(std::string_view key, std::span<const node_name> nodes,
                                      std::size_t count)
{
    std::vector<std::pair<std::uint64_t, const node_name *>> weighted;
    weighted.reserve(nodes.size());
    for (const node_name &node : nodes)
        weighted.emplace_back(rendezvousWeight(key, node), &node);

    const std::size_t rankedCount = std::min(count, weighted.size());
    const auto heavier = [](const auto &left, const auto &right) {
        return left.first != right.first ? left.first > right.first : *left.second < *right.second;
    };
    std::partial_sort(weighted.begin(), weighted.begin() + static_cast<std::ptrdiff_t>(rankedCount),
                      weighted.end(), heavier);

    std::vector<node_name> ranked;
    ranked.reserve(rankedCount);
    for (std::size_t i = 0; i < rankedCount; ++i)
        ranked.push_back(*weighted[i].second);
    return ranked;
}

} // namespace comfreypass::core
