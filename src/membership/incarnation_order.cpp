#include "membership/incarnation_order.h"

namespace comfreypass::membership {

core::incarnation makeIncarnation(std::uint64_t unixSeconds, std::uint64_t random) noexcept
{
    constexpr unsigned secondsShift = 32;
    constexpr std::uint64_t lowBits = 0xffff'ffffU;
    return (unixSeconds << secondsShift) | (random & lowBits);
}

} // namespace comfreypass::membership
