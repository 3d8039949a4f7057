#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace comfreypass::transport {

/**
 * Builds the request target for an upstream from a decoded path and query: percent-encodes path
 * segments, names and values, and orders the arguments by name. Thread-safe.
 */
std::string requestTarget(std::string_view path,
                          const std::map<std::string, std::string, std::less<>> &arguments);

} // namespace comfreypass::transport
