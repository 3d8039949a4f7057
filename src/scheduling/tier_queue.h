#pragma once

#include "core/incarnation.h"
#include "core/name.h"
#include "core/tier.h"
#include "core/time_point.h"
#include "scheduling/permit_request.h"
#include "scheduling/request_ref.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace comfreypass::scheduling {

/** A request that waits for a permit. */
struct queued_request
{
    request_ref ref;
    core::node_identity origin;
    permit_request request;
    /** Latest start time with which the deadline can be met. */
    core::time_point latestStart{};
    /** Time of receipt, from which clock drift between origin and scheduler accumulates. */
    core::time_point received{};
    bool small = false;
};

/**
 * Bounded queue of a pool, ordered by tier, within a tier by weighted fair queueing of teams in
 * token cost, and within a team by latest start time. Small and large requests wait in separate
 * lanes. Requests of a suspended node stay queued but are not eligible. Not thread-safe.
 */
class tier_queue
{
public:
    enum class lane : std::uint8_t { Small, Large };

    explicit tier_queue(std::size_t capacity);

    std::size_t size() const noexcept { return m_entries.size(); }
    bool empty() const noexcept { return m_entries.empty(); }
    bool full() const noexcept { return m_entries.size() >= m_capacity; }
    std::size_t size(core::tier tier) const { return m_newest.at(tier).size(); }
    bool contains(const request_ref &ref) const { return m_entries.contains(ref); }

    /**
     * Adds a request. Precondition: the queue does not contain it, and the weight is over 0. The
     * caller enforces the capacity and may exceed it by one request for each slot that is about to
     * become free.
     */
    void push(queued_request request, double teamWeight);

    /** Returns the next request of a lane, or null. Valid until the next change. */
    const queued_request *head(core::tier tier, lane which) const;
    /** Removes the head and charges its cost to its team. Precondition: there is a head. */
    queued_request pop(core::tier tier, lane which);

    /** Returns a queued request; null if it is absent or its node is suspended. */
    const queued_request *findEligible(const request_ref &ref) const;
    std::optional<queued_request> remove(request_ref ref);
    /** Returns the lowest tier with queued requests. */
    std::optional<core::tier> lowestTier() const;
    /** Removes the newest request of the lowest tier present, if that tier is below `above`. */
    std::optional<queued_request> displaceBelow(core::tier above);
    /** Removes the requests whose latest start is before `now`. */
    std::vector<queued_request> removeOverdue(core::time_point now);
    /** Returns at most `limit` requests whose latest start is before `time`, ordered by it. */
    std::vector<const queued_request *> startingBefore(core::time_point time,
                                                       std::size_t limit) const;

    /** Makes the requests of this node ineligible until `resume`. */
    void suspend(core::incarnation incarnation);
    void resume(core::incarnation incarnation);
    /** Removes all requests of a node. */
    std::vector<queued_request> removeNode(core::incarnation incarnation);

private:
    struct entry
    {
        queued_request request;
        double teamWeight = 1;
        std::uint64_t arrival = 0;
        bool suspended = false;
    };
    using start_order = std::pair<core::time_point, std::uint64_t>;

    struct team_queue
    {
        std::map<start_order, entry *> requests;
        /** Arrival number of the first request; a deterministic tie-breaker, unlike an address. */
        std::uint64_t firstArrival = 0;
        /** Virtual time at which the next request of the team starts. */
        double startTag = 0;
        /** Virtual time at which the team's last served request ends. */
        double finishTag = 0;
    };

    /** Start tag, first arrival and queue of a team; equal tags keep the arrival order. */
    using active_team = std::tuple<double, std::uint64_t, team_queue *>;

    struct lane_queue
    {
        std::unordered_map<core::team_name, team_queue> teams;
        /** Teams with requests by start tag; points into `teams`, whose elements do not move. */
        std::set<active_team> active;
        double virtualTime = 0;
    };

    lane_queue &laneOf(const entry &item);
    void enterLane(entry &item);
    void leaveLane(entry &item);
    queued_request extract(entry &item);
    static start_order startOrder(const entry &item);

    std::size_t m_capacity;
    std::uint64_t m_arrivals = 0;
    std::unordered_map<request_ref, entry> m_entries;
    std::array<std::array<lane_queue, 2>, core::tierCount> m_lanes;
    /** All requests of a tier by arrival, suspended ones included. */
    std::array<std::map<std::uint64_t, entry *>, core::tierCount> m_newest;
    std::map<start_order, entry *> m_byStart;
    std::set<core::incarnation> m_suspended;
};

} // namespace comfreypass::scheduling
