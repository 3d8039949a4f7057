#pragma once

#include "sheet/sheet.h"

#include <boost/json/value.hpp>

namespace comfreypass::sheet {

/**
 * The sheet as a JSON document that readSheet accepts. Every key is written, defaults too, and
 * names are in sorted order, so equal sheets give equal documents. Thread-safe.
 */
boost::json::value writeSheet(const sheet &value);

} // namespace comfreypass::sheet
