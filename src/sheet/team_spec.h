#pragma once

#include "core/name.h"
#include "core/tier.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>

namespace comfreypass::sheet {

/** Settings of one team in the sheet. */
struct team_spec
{
    /** Limits of a team within one of its tiers. */
    struct tier_limit
    {
        /** Requests of the team that may run concurrently in one upstream. */
        std::uint32_t inFlight = 0;
    };

    core::half_name half;
    /** Weight in the fair queueing of a tier, relative to the other teams. */
    double weight = 1;
    /** Limits by tier; a request of a tier that the team does not hold is refused. */
    std::array<std::optional<tier_limit>, core::tierCount> tiers;
    /** SHA-256 of the team's bearer token, in lower-case hexadecimal digits. */
    std::string tokenSha256;

    /** Returns the highest tier that the team holds. Precondition: the team holds at least one
     * tier, as validation ensures. */
    core::tier highestTier() const;
};

} // namespace comfreypass::sheet
