#include "transport/response_status.h"

#include "core/parse_unsigned.h"

#include <cstddef>

namespace comfreypass::transport {

std::optional<unsigned> parseStatusLine(std::string_view line) noexcept
{
    constexpr std::string_view http10 = "HTTP/1.0 ";
    constexpr std::string_view http11 = "HTTP/1.1 ";
    constexpr std::size_t statusDigits = 3;
    if (!line.starts_with(http11) && !line.starts_with(http10))
        return std::nullopt;
    line.remove_prefix(http11.size());
    // Some servers omit the space before an empty reason.
    if (line.size() > statusDigits && line[statusDigits] != ' ')
        return std::nullopt;
    const std::string_view digits = line.substr(0, statusDigits);
    const auto status = core::parseUnsigned(digits);
    if (digits.size() != statusDigits || !status
        || !isResponseStatus(static_cast<unsigned>(*status)))
        return std::nullopt;
    return static_cast<unsigned>(*status);
}

} // namespace comfreypass::transport
