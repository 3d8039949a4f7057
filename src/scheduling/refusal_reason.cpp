#include "scheduling/refusal_reason.h"

#include <array>
#include <cstddef>

namespace comfreypass::scheduling {

std::string_view toString(refusal_reason reason) noexcept
{
    static constexpr std::array<std::string_view, 7> names = {
        "capacity",         "displaced",     "deadline_unreachable", "team_limit",
        "no_usable_engine", "not_scheduler", "lease_lost",
    };
    return names.at(static_cast<std::size_t>(reason));
}

} // namespace comfreypass::scheduling
