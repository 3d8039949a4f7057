#include "transport/message_framing.h"

#include "core/parse_unsigned.h"
#include "transport/field_name.h"

#include <cstdint>
#include <limits>

namespace comfreypass::transport {

namespace {

constexpr std::string_view contentLength = "Content-Length";
constexpr std::string_view transferEncoding = "Transfer-Encoding";

/** Returns true if the name begins like a framing field, also with an underscore for the hyphen. */
bool resembles(std::string_view name, std::string_view framingField)
{
    if (name.size() < framingField.size())
        return false;
    name = name.substr(0, framingField.size());
    const std::size_t hyphen = framingField.find('-');
    return (name[hyphen] == '-' || name[hyphen] == '_')
           && equalIgnoringCase(name.substr(0, hyphen), framingField.substr(0, hyphen))
           && equalIgnoringCase(name.substr(hyphen + 1), framingField.substr(hyphen + 1));
}

/** Returns true for a decimal number that recipients with signed lengths can represent, too. */
bool isLengthValue(std::string_view text)
{
    const auto length = core::parseUnsigned(text);
    return length && *length <= std::numeric_limits<std::int64_t>::max();
}

} // namespace

std::optional<std::string_view> framingFault(const http_headers &headers) noexcept
{
    bool hasLength = false;
    bool isChunked = false;
    for (const auto &[name, value] : headers) {
        const bool isLength = resembles(name, contentLength);
        const bool isEncoding = resembles(name, transferEncoding);
        if (!isLength && !isEncoding)
            continue;
        const std::string_view field = isLength ? contentLength : transferEncoding;
        if (!equalIgnoringCase(name, field))
            return "a field name resembles Content-Length or Transfer-Encoding";
        if (hasLength || isChunked)
            return "more than one field states the length of the body";
        if (isLength && !isLengthValue(value))
            return "Content-Length is not a valid number";
        if (isEncoding && !equalIgnoringCase(value, "chunked"))
            return "Transfer-Encoding is not \"chunked\"";
        (isLength ? hasLength : isChunked) = true;
    }
    return std::nullopt;
}

} // namespace comfreypass::transport
