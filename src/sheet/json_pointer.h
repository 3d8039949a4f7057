#pragma once

#include <string>
#include <string_view>

namespace comfreypass::sheet {

/** Returns the JSON pointer (RFC 6901) to the member `key` of the value at `parent`. Thread-safe.
 */
std::string childPointer(std::string_view parent, std::string_view key);

} // namespace comfreypass::sheet
