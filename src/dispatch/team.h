#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace comfreypass::dispatch {

/** Limit on the usage of a team, summed over all nodes. */
struct team_quota
{
    /** Units are tokens; otherwise each request counts as one unit. */
    bool countsTokens = false;
    double unitsPerSecond = 0;
    double burstUnits = 0;
    /** Units of a request without a stated size. */
    double defaultUnits = 1;

    bool operator==(const team_quota &) const = default;
};

/** An owner of API keys. */
struct team
{
    std::string name;
    std::vector<std::string> keys = {};
    /** Overrides the priority of the route. */
    std::optional<std::uint32_t> priority = {};
    /** No limit if absent. */
    std::optional<team_quota> quota = {};

    bool operator==(const team &) const = default;
};

} // namespace comfreypass::dispatch
