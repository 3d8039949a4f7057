#include "core/parse_unsigned.h"

#include <charconv>
#include <system_error>

namespace comfreypass::core {

std::optional<std::uint64_t> parseUnsigned(std::string_view text) noexcept
{
    std::uint64_t value = 0;
    const auto read = std::from_chars(text.data(), text.data() + text.size(), value);
    if (read.ec != std::errc() || read.ptr != text.data() + text.size())
        return std::nullopt;
    return value;
}

} // namespace comfreypass::core
