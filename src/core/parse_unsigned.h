#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace comfreypass::core {

/** Reads a text that is a whole number and nothing else; nothing if it is not. Thread-safe. */
std::optional<std::uint64_t> parseUnsigned(std::string_view text) noexcept;

} // namespace comfreypass::core
