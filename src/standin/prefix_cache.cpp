#include "standin/prefix_cache.h"

#include "core/hash.h"

namespace comfreypass::standin {

namespace {

constexpr std::size_t charactersPerToken = 4;

} // namespace

prefix_cache::prefix_cache(std::uint32_t blockTokens, std::size_t maxBlocks)
    : m_blockTokens(blockTokens), m_maxBlocks(maxBlocks)
{ }

std::uint32_t prefix_cache::match(std::string_view prompt)
{
    std::uint32_t tokens = 0;
    for (const std::uint64_t hash : blockHashes(prompt)) {
        const auto found = m_positions.find(hash);
        if (found == m_positions.end())
            break;
        m_order.splice(m_order.begin(), m_order, found->second);
        tokens += m_blockTokens;
    }
    return tokens;
}

void prefix_cache::insert(std::string_view prompt)
{
    for (const std::uint64_t hash : blockHashes(prompt)) {
        if (m_positions.contains(hash))
            continue;
        m_order.push_front(hash);
        m_positions.emplace(hash, m_order.begin());
        if (m_order.size() > m_maxBlocks) {
            m_positions.erase(m_order.back());
            m_order.pop_back();
        }
    }
}

void prefix_cache::clear()
{
    m_order.clear();
    m_positions.clear();
}

std::vector<std::uint64_t> prefix_cache::blockHashes(std::string_view prompt) const
{
    const std::size_t blockCharacters = m_blockTokens * charactersPerToken;
    std::vector<std::uint64_t> hashes;
    std::uint64_t hash = 0;
    for (std::size_t offset = 0; offset + blockCharacters <= prompt.size();
         offset += blockCharacters) {
        hash = core::hash64(prompt.substr(offset, blockCharacters), hash);
        hashes.push_back(hash);
    }
    return hashes;
}

} // namespace comfreypass::standin
