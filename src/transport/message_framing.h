#pragma once

#include "transport/http_headers.h"

#include <optional>
#include <string_view>

namespace comfreypass::transport {

/**
 * Returns why header fields do not determine where a message ends, or nothing if they do.
 *
 * Accepted are no framing field, one Content-Length with a decimal number, and one
 * Transfer-Encoding that is exactly "chunked". With anything else two recipients may see different
 * ends, and what one of them takes for the rest of the body is the next message for the other. This
 * includes names that only begin like those of the framing fields, such as with an underscore for
 * the hyphen, since some recipients treat both alike. Thread-safe.
 */
std::optional<std::string_view> framingFault(const http_headers &headers) noexcept;

} // namespace comfreypass::transport
