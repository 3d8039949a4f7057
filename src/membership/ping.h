#pragma once

#include "membership/member.h"
#include "sheet/sheet_key.h"

#include <cstdint>
#include <vector>

namespace comfreypass::membership {

/** Liveness probe of an overlay neighbour, with piggybacked updates. */
struct ping
{
    std::uint64_t sequence = 0;
    std::uint64_t viewDigest = 0;
    sheet::sheet_key sheet;
    std::vector<member> updates;

    bool operator==(const ping &) const = default;
};

} // namespace comfreypass::membership
