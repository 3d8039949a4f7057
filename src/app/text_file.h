#pragma once

#include "core/result.h"

#include <cstddef>
#include <string>

namespace comfreypass::app {

/**
 * Returns at most the first `maxBytes` + 1 bytes of a file; the extra byte lets a parser detect
 * that the file is too large. Errors: Io if the file cannot be read.
 */
core::result<std::string> readTextFile(const std::string &path, std::size_t maxBytes);

} // namespace comfreypass::app
