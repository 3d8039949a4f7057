#pragma once

#include "core/time_point.h"
#include "dispatch/fleet_share.h"
#include "dispatch/team.h"

#include <string>
#include <string_view>
#include <unordered_map>

namespace comfreypass::dispatch {

/** Decision on one request. */
struct quota_decision
{
    bool admitted = true;
    /** Time after which the team has units again; 0 if admitted. */
    core::duration retryAfter{};
};

/**
 * Token buckets of the teams, shared by all nodes.
 *
 * Each node subtracts what it admits at once and what its peers admitted as soon as it hears of it.
 * A request is admitted while the level is above zero and may take it below, so that requests far
 * larger than a node's part of the rate are served. Between two exchanges the fleet can therefore
 * admit too much by what arrives in that time; the platform's slack covers it.
 *
 * The refill is cut to the part of the nodes in touch, so that two groups that do not hear each
 * other never add up to more than the rate. Not thread-safe.
 */
class quota_pool
{
public:
    /** Asks for units of a team's quota and takes them if admitted. */
    quota_decision admit(const team &owner, double units, const fleet_share &share,
                         core::time_point now);

    /** Gives back units of a request that never ran. */
    void refund(const team &owner, double units);

    /** Subtracts what a peer admitted. No effect for a team that this node was never asked for. */
    void addPeerUse(std::string_view teamName, double units);

    /** Units that this node admitted for a team since it started. */
    double ownTotal(std::string_view teamName) const;

    /** Calls the function with the name and own total of each team. */
    template<class Function>
    void forEachOwnTotal(Function &&each) const
    {
        for (const auto &[name, bucket] : m_buckets) {
            if (bucket.ownTotal > 0)
                each(name, bucket.ownTotal);
        }
    }

private:
    struct bucket
    {
        double level = 0;
        double ownTotal = 0;
        core::time_point refilledAt{};
        bool started = false;
    };

    static void refill(bucket &state, const team_quota &quota, const fleet_share &share,
                       core::time_point now);

    std::unordered_map<std::string, bucket> m_buckets;
};

} // namespace comfreypass::dispatch
