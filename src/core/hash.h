#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace comfreypass::core {

/** Returns the 64-bit XXH3 hash of a string; equal on every instance. Not cryptographically
 * secure. Thread-safe. */
std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0) noexcept;

/** Returns the 64-bit XXH3 hash of raw bytes. Thread-safe. */
std::uint64_t hash64(std::span<const std::byte> bytes, std::uint64_t seed = 0) noexcept;

} // namespace comfreypass::core
