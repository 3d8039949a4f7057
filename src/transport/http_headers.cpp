#include "transport/http_headers.h"

#include <boost/algorithm/string/predicate.hpp>

#include <algorithm>
#include <locale>

namespace comfreypass::transport {

void http_headers::add(std::string name, std::string value)
{
    m_fields.emplace_back(std::move(name), std::move(value));
}

std::optional<std::string_view> http_headers::find(std::string_view name) const noexcept
{
    const auto sameName = [name](const field &candidate) {
        return boost::algorithm::iequals(candidate.first, name, std::locale::classic());
    };
    const auto found = std::find_if(m_fields.begin(), m_fields.end(), sameName);
    if (found == m_fields.end())
        return std::nullopt;
    return found->second;
}

} // namespace comfreypass::transport
