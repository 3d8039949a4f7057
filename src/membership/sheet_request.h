#pragma once

#include "sheet/sheet_key.h"

#include <cstdint>

namespace comfreypass::membership {

/** Request of a node that is behind to a neighbour for a newer sheet. */
struct sheet_request
{
    sheet::sheet_key have;
    sheet::sheet_key want;
    /** Offset of the first requested byte of the whole document; only used if `whole`. */
    std::uint32_t offset = 0;
    /** Requests the whole document because a merge patch on `have` cannot be used. */
    bool whole = false;

    bool operator==(const sheet_request &) const = default;
};

} // namespace comfreypass::membership
