#include "dispatch/record_revision.h"

#include "core/parse_unsigned.h"

namespace comfreypass::dispatch {

std::string record_revision::text() const
{
    return era == 0 ? std::to_string(number) : std::to_string(number) + "@" + std::to_string(era);
}

std::optional<record_revision> record_revision::parse(std::string_view text)
{
    const std::size_t separator = text.find('@');
    const auto number = core::parseUnsigned(text.substr(0, separator));
    if (!number)
        return std::nullopt;
    if (separator == std::string_view::npos)
        return record_revision(*number);
    const auto era = core::parseUnsigned(text.substr(separator + 1));
    if (!era)
        return std::nullopt;
    return record_revision(*era, *number);
}

} // namespace comfreypass::dispatch
