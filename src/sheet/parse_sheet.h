#pragma once

#include "sheet/sheet.h"
#include "sheet/validated.h"

#include <boost/json/value.hpp>

#include <string_view>

namespace comfreypass::sheet {

/**
 * Parses and validates a sheet of at most `maxSheetBytes`.
 *
 * All errors are returned at once, each with its JSON pointer, a detail and a remedy. A syntax
 * error is returned alone, because the text after it cannot be interpreted. Thread-safe.
 */
validated<sheet> parseSheet(std::string_view text);

/** Validates a parsed JSON document, for example after a merge patch. Thread-safe. */
validated<sheet> readSheet(const boost::json::value &document);

} // namespace comfreypass::sheet
