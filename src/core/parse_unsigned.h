#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace comfreypass::core {

/** Parses an unsigned decimal integer that spans the whole text; nullopt otherwise. Thread-safe. */
std::optional<std::uint64_t> parseUnsigned(std::string_view text) noexcept;

} // namespace comfreypass::core
