#include "membership/member.h"

#include <array>
#include <cstddef>

namespace comfreypass::membership {

std::string_view toString(member_state state) noexcept
{
    static constexpr std::array<std::string_view, 4> names
        = {"alive", "suspect", "dead", "leaving"};
    return names.at(static_cast<std::size_t>(state));
}

} // namespace comfreypass::membership
