#include "core/hash.h"

#include <xxhash.h>

namespace comfreypass::core {

std::uint64_t hash64(std::string_view bytes, std::uint64_t seed) noexcept
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t hash64(std::span<const std::byte> bytes, std::uint64_t seed) noexcept
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

} // namespace comfreypass::core
