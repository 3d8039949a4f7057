#pragma once

#include "core/error.h"
#include "sheet/settings.h"
#include "sheet/sheet.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace comfreypass::app {

enum class document_kind : std::uint8_t {
    Auto,
    Sheet,
    Settings,
    GatewaySettings,
    /** The operators' configuration, in the format of the gateway's source. */
    Configuration,
};

/** Returns a display name such as "sheet", or "document" for Auto. Thread-safe. */
std::string_view toString(document_kind kind) noexcept;

/** Result of the validation of one file. */
struct document_check
{
    std::string path;
    document_kind kind = document_kind::Auto;
    std::vector<core::error> errors;
    std::vector<core::error> warnings;
    /** Parsed content, set if it is valid and of this kind. */
    std::optional<sheet::sheet> asSheet;
    std::optional<sheet::settings> asSettings;
};

/** Reads and validates one file. With Auto, the kind is detected by the document's keys. */
document_check checkDocument(const std::string &path, document_kind kind);

/**
 * Checks documents against each other and adds errors to them: the failure domain of each settings
 * file must be in one of the sheets, if there are any, and names and addresses of nodes must be
 * unique.
 */
void checkTogether(std::vector<document_check> &documents);

} // namespace comfreypass::app
