#include "gateway/flow_record.h"

#include <array>

namespace comfreypass::gateway {

std::string_view toString(flow_outcome outcome) noexcept
{
    static constexpr std::array<std::string_view, flowOutcomes> names = {
        "answered", "rejected", "refused", "failed", "timed_out", "broken_off", "caller_gone",
    };
    return names.at(static_cast<std::size_t>(outcome));
}

} // namespace comfreypass::gateway
