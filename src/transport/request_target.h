#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace comfreypass::transport {

/**
 * Request target for an upstream from a decoded path and query: path segments, names and values are
 * percent-encoded. Arguments come in the order of their names. Thread-safe.
 */
std::string requestTarget(std::string_view path,
                          const std::map<std::string, std::string, std::less<>> &arguments);

} // namespace comfreypass::transport
