#include "node/bearer_token.h"

namespace comfreypass::node {

std::string_view bearerToken(const transport::http_headers &headers)
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string_view value = headers.find("Authorization").value_or("");
    return value.starts_with(scheme) ? value.substr(scheme.size()) : std::string_view();
}

} // namespace comfreypass::node
