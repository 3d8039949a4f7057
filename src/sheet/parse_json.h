#pragma once

#include "sheet/validated.h"

#include <boost/json/value.hpp>

#include <cstddef>
#include <string_view>

namespace comfreypass::sheet {

/** Maximum nesting of a sheet, a merge patch or settings; the sheet itself needs 5 levels. */
constexpr std::size_t maxJsonDepth = 16;

/**
 * Parses JSON with comments and trailing commas.
 *
 * Errors: a document of more than `maxBytes`, a syntax error (with line and column), excessive
 * nesting, and every duplicate key, because Boost.JSON silently keeps only the last of them.
 * Thread-safe.
 */
validated<boost::json::value> parseJson(std::string_view text, std::size_t maxBytes);

} // namespace comfreypass::sheet
