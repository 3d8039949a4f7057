#pragma once

#include "transport/http_headers.h"

#include <string_view>

namespace comfreypass::node {

/** Token of the Authorization header with the scheme Bearer; empty without one. Thread-safe. */
std::string_view bearerToken(const transport::http_headers &headers);

} // namespace comfreypass::node
