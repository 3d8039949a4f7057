#include "wire/milliseconds.h"

#include <algorithm>
#include <chrono>
#include <limits>

namespace comfreypass::wire {

namespace {

std::uint32_t clampToUint32(std::chrono::milliseconds value) noexcept
{
    using limits = std::numeric_limits<std::uint32_t>;
    const std::int64_t count = value.count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(count, 0, limits::max()));
}

} // namespace

std::uint32_t floorMs(core::duration value) noexcept
{
    return clampToUint32(std::chrono::floor<std::chrono::milliseconds>(value));
}

std::uint32_t ceilMs(core::duration value) noexcept
{
    return clampToUint32(std::chrono::ceil<std::chrono::milliseconds>(value));
}

core::duration fromMs(std::uint32_t value) noexcept
{
    return std::chrono::milliseconds{value};
}

} // namespace comfreypass::wire
