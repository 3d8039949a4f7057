#pragma once

#include "transport/http_headers.h"

#include <string>
#include <string_view>

namespace comfreypass::http1 {

/**
 * Returns the fields that a proxy forwards: all except hop-by-hop fields, message framing and the
 * fields listed in Connection. Thread-safe.
 */
transport::http_headers forwardedHeaders(const transport::http_headers &headers);

/** Appends "name: value" and CRLF. Thread-safe. */
void appendField(std::string &text, std::string_view name, std::string_view value);

} // namespace comfreypass::http1
