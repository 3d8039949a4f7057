#pragma once

#include "sheet/settings.h"
#include "sheet/validated.h"

#include <string_view>
#include <vector>

namespace comfreypass::sheet {

/** Valid settings, with warnings about conflicting values. */
struct parsed_settings
{
    settings value;
    std::vector<core::error> warnings;
};

/**
 * Parses and validates the settings of one node: JSON with comments of at most `maxSettingsBytes`.
 *
 * All errors are returned at once, each with its JSON pointer, a detail and a remedy. Files that
 * the settings name are not read. Thread-safe.
 */
validated<parsed_settings> parseSettings(std::string_view text);

} // namespace comfreypass::sheet
