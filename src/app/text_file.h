#pragma once

#include "core/result.h"

#include <cstddef>
#include <string>

namespace comfreypass::app {

/**
 * Content of a file, at most `maxBytes` + 1 bytes of it, so that a parser can still tell that the
 * file is too large. Errors: Io if the file cannot be read.
 */
core::result<std::string> readTextFile(const std::string &path, std::size_t maxBytes);

} // namespace comfreypass::app
