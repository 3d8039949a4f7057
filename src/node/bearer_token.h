#pragma once

#include "transport/http_headers.h"

#include <string_view>

namespace comfreypass::node {

/** Returns the bearer token of the Authorization header, or an empty view. Thread-safe. */
std::string_view bearerToken(const transport::http_headers &headers);

} // namespace comfreypass::node
