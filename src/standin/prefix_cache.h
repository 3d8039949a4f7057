#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace comfreypass::standin {

/** LRU cache of prompt prefixes in blocks of equal size. Not thread-safe. */
class prefix_cache
{
public:
    /** A block of `blockTokens` tokens has four characters per token. */
    prefix_cache(std::uint32_t blockTokens, std::size_t maxBlocks);

    /** Returns the size in tokens of the longest cached prefix and marks its blocks as used. */
    std::uint32_t match(std::string_view prompt);

    /** Adds all complete blocks of a prompt; evicts the least recently used blocks. */
    void insert(std::string_view prompt);

    void clear();
    std::size_t blocks() const noexcept { return m_positions.size(); }

private:
    /** Returns the hash of each prefix of a prompt that ends at a block boundary. */
    std::vector<std::uint64_t> blockHashes(std::string_view prompt) const;

    std::uint32_t m_blockTokens;
    std::size_t m_maxBlocks;
    /** Most recently used block first. */
    std::list<std::uint64_t> m_order;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_positions;
};

} // namespace comfreypass::standin
