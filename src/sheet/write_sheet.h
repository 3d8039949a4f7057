#pragma once

#include "sheet/sheet.h"

#include <boost/json/value.hpp>

namespace comfreypass::sheet {

/**
 * Converts a sheet to a JSON document that readSheet() accepts. Every key is written, including
 * defaults, and names are sorted, so equal sheets produce equal documents. Thread-safe.
 */
boost::json::value writeSheet(const sheet &value);

} // namespace comfreypass::sheet
