#pragma once

#include "core/time_point.h"
#include "membership/member.h"
#include "sheet/sheet_key.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace comfreypass::membership {

/** Reply to a ping. */
struct ack
{
    std::uint64_t sequence = 0;
    std::uint64_t viewDigest = 0;
    sheet::sheet_key sheet;
    std::vector<member> updates;
    /** Age of the sender's confirmation that no newer sheet exists; empty without one. */
    std::optional<core::duration> confirmationAge;

    bool operator==(const ack &) const = default;
};

} // namespace comfreypass::membership
