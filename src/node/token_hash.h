#pragma once

#include <string>
#include <string_view>

namespace comfreypass::node {

/** SHA-256 of a bearer token in lower-case hexadecimal digits, the form that the sheet holds.
 * Thread-safe. */
std::string tokenHash(std::string_view token);

} // namespace comfreypass::node
