#include "core/invariant.h"
#include "sheet/parse_settings.h"
#include "sheet/parse_sheet.h"
#include "sheet/sheet_diff.h"
#include "sheet/write_sheet.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

using namespace comfreypass::sheet;

// Checks that every sheet that parseSheet() accepts is unchanged after writing and reading it
// again, and that every error has a detail and a remedy. Also parses the input as settings.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    const auto settings = parseSettings(text);
    COMFREYPASS_INVARIANT(settings.has_value() || !settings.error().empty());
    const auto first = parseSheet(text);
    if (first.has_error()) {
        for (const auto &error : first.error())
            COMFREYPASS_INVARIANT(!error.detail.empty() && !error.remedy.empty());
        return 0;
    }
    const auto second = readSheet(writeSheet(first.value()));
    COMFREYPASS_INVARIANT(second.has_value());
    COMFREYPASS_INVARIANT(sheetDiff(first.value(), second.value()).empty());
    return 0;
}
