#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace comfreypass::dispatch {

/** Limit on what a team may use, summed over all nodes. */
struct team_quota
{
    /** Units are tokens; otherwise each request counts as one unit. */
    bool countsTokens = false;
    double unitsPerSecond = 0;
    double burstUnits = 0;
    /** Units of a request that does not say its size. */
    double plainUnits = 1;

    bool operator==(const team_quota &) const = default;
};

/** A holder of keys. */
struct team
{
    std::string name;
    std::vector<std::string> keys = {};
    /** Replaces the priority of the route. */
    std::optional<std::uint32_t> priority = {};
    /** No limit if absent. */
    std::optional<team_quota> quota = {};

    bool operator==(const team &) const = default;
};

} // namespace comfreypass::dispatch
