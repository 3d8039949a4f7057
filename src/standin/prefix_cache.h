#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace comfreypass::standin {

/** Bounded cache of prompt prefixes in blocks of equal size. Not thread-safe. */
class prefix_cache
{
public:
    /** `blockTokens` tokens are four times as many characters. */
    prefix_cache(std::uint32_t blockTokens, std::size_t maxBlocks);

    /** Tokens of the longest cached prefix of a prompt; its blocks become the latest used. */
    std::uint32_t match(std::string_view prompt);

    /** Adds all whole blocks of a prompt; the least recently used ones make room. */
    void insert(std::string_view prompt);

    void clear();
    std::size_t blocks() const noexcept { return m_positions.size(); }

private:
    /** Hash of each prefix of a prompt that ends at a block's end. */
    std::vector<std::uint64_t> blockHashes(std::string_view prompt) const;

    std::uint32_t m_blockTokens;
    std::size_t m_maxBlocks;
    /** The latest used block first. */
    std::list<std::uint64_t> m_order;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_positions;
};

} // namespace comfreypass::standin
