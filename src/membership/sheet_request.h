#pragma once

#include "sheet/sheet_key.h"

#include <cstdint>

namespace comfreypass::membership {

/** A node that is behind asks a neighbour for a newer sheet. */
struct sheet_request
{
    sheet::sheet_key have;
    sheet::sheet_key want;
    /** First wanted byte of the whole document; only used if `whole`. */
    std::uint32_t offset = 0;
    /** True if a merge patch on `have` could not be used. */
    bool whole = false;

    bool operator==(const sheet_request &) const = default;
};

} // namespace comfreypass::membership
