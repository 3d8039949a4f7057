#pragma once

#include "sheet/sheet.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace comfreypass::sheet {

enum class severity : std::uint8_t { Info, Warning, Dangerous };

/** Stable lower-case word for a severity. Thread-safe. */
std::string_view toString(severity value) noexcept;

/** One effect of a change of the sheet. */
struct sheet_change
{
    severity level = severity::Info;
    /** JSON pointer of what changes. */
    std::string where;
    std::string detail;

    bool operator==(const sheet_change &) const = default;
};

/**
 * What replacing one sheet by another does, the most severe effects first. Empty if the sheets say
 * the same. Thread-safe.
 */
std::vector<sheet_change> sheetDiff(const sheet &before, const sheet &after);

} // namespace comfreypass::sheet
