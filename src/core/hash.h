#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace comfreypass::core {

/** 64-bit XXH3 hash; the same on every instance. Not for secrets. Thread-safe. */
std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0) noexcept;

/** 64-bit XXH3 hash of raw bytes. Thread-safe. */
std::uint64_t hash64(std::span<const std::byte> bytes, std::uint64_t seed = 0) noexcept;

} // namespace comfreypass::core
