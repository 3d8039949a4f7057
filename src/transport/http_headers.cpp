#include "transport/http_headers.h"

#include "transport/field_name.h"

#include <algorithm>
#include <utility>

namespace comfreypass::transport {

void http_headers::add(std::string name, std::string value)
{
    m_fields.emplace_back(std::move(name), std::move(value));
}

std::optional<std::string_view> http_headers::find(std::string_view name) const noexcept
{
    const auto sameName = [name](const field &candidate) {
        return equalIgnoringCase(candidate.first, name);
    };
    const auto found = std::find_if(m_fields.begin(), m_fields.end(), sameName);
    if (found == m_fields.end())
        return std::nullopt;
    return found->second;
}

} // namespace comfreypass::transport
