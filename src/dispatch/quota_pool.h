#pragma once

#include "core/time_point.h"
#include "dispatch/fleet_share.h"
#include "dispatch/team.h"

#include <string>
#include <string_view>
#include <unordered_map>

namespace comfreypass::dispatch {

/** Decision on a request. */
struct quota_decision
{
    bool admitted = true;
    /** Time until the team has units again; 0 if admitted. */
    core::duration retryAfter{};
};

/**
 * Token buckets of the teams, shared by all nodes.
 *
 * Each node subtracts the units that it admits immediately, and those admitted by its peers when
 * they are reported. A request is admitted while the level is positive and may make it negative, so
 * that requests far larger than a node's share of the rate are served. Between two status messages
 * the fleet can therefore exceed the limit by the units that arrive in that time, which is within
 * the tolerance of the platform.
 *
 * The refill is scaled by the fraction of reachable nodes, so that two partitions never add up to
 * more than the rate. Not thread-safe.
 */
class quota_pool
{
public:
    /** Admits a request if its team has no quota or has units left, and subtracts its units. */
    quota_decision admit(const team &owner, double units, const fleet_share &share,
                         core::time_point now);

    /** Returns the units of a request that was never run. */
    void refund(const team &owner, double units);

    /** Subtracts units that a peer admitted. Has no effect before the team's first request here. */
    void addPeerUsage(std::string_view teamName, double units);

    /** Returns the units that this node admitted for a team since its start. */
    double ownTotal(std::string_view teamName) const;

    /** Calls the function with the name and own total of each team with a non-zero total. */
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
