#pragma once

#include "sheet/sheet.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace comfreypass::sheet {

enum class severity : std::uint8_t { Info, Warning, Dangerous };

/** Returns the stable lower-case name of a severity. Thread-safe. */
std::string_view toString(severity value) noexcept;

/** One effect of a change of the sheet. */
struct sheet_change
{
    severity level = severity::Info;
    /** JSON pointer of the changed value. */
    std::string where;
    std::string detail;

    bool operator==(const sheet_change &) const = default;
};

/**
 * Returns the effects of replacing one sheet with another, the most severe first. Empty if the
 * sheets are equal. Thread-safe.
 */
std::vector<sheet_change> sheetDiff(const sheet &before, const sheet &after);

} // namespace comfreypass::sheet
