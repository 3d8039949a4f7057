#pragma once

#include "sheet/sheet_key.h"

#include <string>

namespace comfreypass::membership {

/** JSON merge patch (RFC 7396) that transforms one sheet document into another. */
struct sheet_patch
{
    sheet::sheet_key base;
    sheet::sheet_key target;
    std::string mergePatch;

    bool operator==(const sheet_patch &) const = default;
};

} // namespace comfreypass::membership
