#pragma once

#include <cstdint>

namespace comfreypass::transport {

/** The `usage` object of a chat completion. */
struct token_usage
{
    std::uint64_t promptTokens = 0;
    /** Number of promptTokens served from the engine's prefix cache. */
    std::uint64_t cachedTokens = 0;
    std::uint64_t completionTokens = 0;

    bool operator==(const token_usage &) const = default;
};

} // namespace comfreypass::transport
