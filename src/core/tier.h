#pragma once

#include <cstddef>
#include <cstdint>

namespace comfreypass::core {

/** Priority of a request; 0 is the highest. */
using tier = std::uint8_t;

constexpr std::size_t tierCount = 5;
constexpr tier lowestTier = tierCount - 1;

} // namespace comfreypass::core
