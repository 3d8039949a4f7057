#include "transport/http_call_result.h"

#include <array>
#include <cstddef>

namespace comfreypass::transport {

std::string_view toString(http_call_result::error_kind kind) noexcept
{
    static constexpr std::array<std::string_view, 6> names = {
        "none", "connect_failed", "refused_before_send", "timeout", "broken", "cancelled",
    };
    return names.at(static_cast<std::size_t>(kind));
}

} // namespace comfreypass::transport
