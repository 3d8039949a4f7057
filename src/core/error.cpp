#include "core/error.h"

#include <array>
#include <cstddef>

namespace comfreypass::core {

std::string_view toString(errc code) noexcept
{
    static constexpr std::array<std::string_view, 11> names = {
        "invalid_argument",
        "parse_failed",
        "validation_failed",
        "not_found",
        "too_large",
        "expired",
        "stale",
        "conflict",
        "refused",
        "unavailable",
        "io",
    };
    return names.at(static_cast<std::size_t>(code));
}

std::string describe(const error &value)
{
    std::string line;
    if (!value.where.empty())
        line += value.where + ": ";
    line += value.detail;
    if (!value.remedy.empty())
        line += " (" + value.remedy + ")";
    return line;
}

} // namespace comfreypass::core
