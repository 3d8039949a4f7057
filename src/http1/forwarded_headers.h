#pragma once

#include "transport/http_headers.h"

#include <string>
#include <string_view>

namespace comfreypass::http1 {

/**
 * The fields that a proxy passes on: all but those that concern one connection only, the framing,
 * and the fields that Connection names. Thread-safe.
 */
transport::http_headers forwardedHeaders(const transport::http_headers &headers);

/** Appends "name: value" and a line break. Thread-safe. */
void appendField(std::string &text, std::string_view name, std::string_view value);

} // namespace comfreypass::http1
