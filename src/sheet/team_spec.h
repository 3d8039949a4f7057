#pragma once

#include "core/name.h"
#include "core/tier.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>

namespace comfreypass::sheet {

/** What the sheet says of one team. */
struct team_spec
{
    /** Limits of a team within one tier that it holds. */
    struct tier_limit
    {
        /** Requests of the team that may run at once in one upstream. */
        std::uint32_t inFlight = 0;
    };

    core::half_name half;
    /** Share in the fair queueing of a tier, relative to the other teams. */
    double weight = 1;
    /** Tiers that the team holds; a request of a tier that it does not hold is refused. */
    std::array<std::optional<tier_limit>, core::tierCount> tiers;
    /** SHA-256 of the team's bearer token, in lower-case hexadecimal digits. */
    std::string tokenSha256;

    /** The highest tier that the team holds. Precondition: the team holds one, as validation
     * ensures. */
    core::tier highestTier() const;
};

} // namespace comfreypass::sheet
