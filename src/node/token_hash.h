#pragma once

#include <string>
#include <string_view>

namespace comfreypass::node {

/** Returns the SHA-256 of a bearer token in lower-case hexadecimal digits, as stored in the sheet.
 * Thread-safe. */
std::string tokenHash(std::string_view token);

} // namespace comfreypass::node
