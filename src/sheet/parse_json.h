#pragma once

#include "sheet/validated.h"

#include <boost/json/value.hpp>

#include <cstddef>
#include <string_view>

namespace comfreypass::sheet {

/** Nesting that is accepted in a sheet, a change or settings; the sheet itself needs 5 levels. */
constexpr std::size_t maxJsonDepth = 16;

/**
 * Parses JSON with comments and trailing commas.
 *
 * Errors: a document of more than `maxBytes`, a syntax error (with line and column), too deep
 * nesting, and every duplicate key, which Boost.JSON alone would resolve silently in favour of the
 * last one. Thread-safe.
 */
validated<boost::json::value> parseJson(std::string_view text, std::size_t maxBytes);

} // namespace comfreypass::sheet
