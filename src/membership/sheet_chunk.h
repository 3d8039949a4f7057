#pragma once

#include "sheet/sheet_key.h"

#include <cstdint>
#include <string>

namespace comfreypass::membership {

/** Chunk of a whole sheet document. */
struct sheet_chunk
{
    sheet::sheet_key target;
    std::uint32_t offset = 0;
    std::uint32_t totalBytes = 0;
    std::string bytes;

    bool operator==(const sheet_chunk &) const = default;
};

} // namespace comfreypass::membership
