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
    /** The operators' configuration as the gateway's source holds it. */
    Configuration,
};

/** Such as "sheet"; "document" where the kind is not known. Thread-safe. */
std::string_view toString(document_kind kind) noexcept;

/** What checking one file found. */
struct document_check
{
    std::string path;
    document_kind kind = document_kind::Auto;
    std::vector<core::error> errors;
    std::vector<core::error> warnings;
    /** The content, if it is valid. */
    std::optional<sheet::sheet> asSheet;
    std::optional<sheet::settings> asSettings;
};

/** Reads and checks one file. With Auto, the keys of the document decide its kind. */
document_check checkDocument(const std::string &path, document_kind kind);

/**
 * Checks documents against each other: the failure domain of settings is in one of the sheets, if
 * there is one, and no two settings have a name or an address in common. Adds errors to the
 * documents.
 */
void checkTogether(std::vector<document_check> &documents);

} // namespace comfreypass::app
