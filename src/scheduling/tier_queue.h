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
    /** The deadline cannot be met by a start after this time. */
    core::time_point latestStart{};
    /** When the request came; clocks drift apart from then on. */
    core::time_point received{};
    bool small = false;
};

/**
 * Bounded queue of a pool, ordered by tier, in a tier by team with weighted fair queueing in token
 * cost, and in a team by latest start time. Small and large requests wait in separate lanes.
 * Requests of a suspended node keep their place but are not offered. Not thread-safe.
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
     * Precondition: the queue does not contain the request, and the weight is over 0. The caller
     * checks `full` first and may exceed the bound by requests whose place is being freed.
     */
    void push(queued_request request, double teamWeight);

    /** The next request of a lane, or null. Valid until the next change. */
    const queued_request *head(core::tier tier, lane which) const;
    /** Takes the head out and charges its cost to its team. Precondition: there is a head. */
    queued_request pop(core::tier tier, lane which);

    /** A request that is in its lane; null if it is absent or its node suspended. */
    const queued_request *findOffered(const request_ref &ref) const;
    std::optional<queued_request> remove(request_ref ref);
    /** The lowest tier that waits. */
    std::optional<core::tier> lowestTier() const;
    /** Takes out the newest request of the lowest tier present, if that tier is below `above`. */
    std::optional<queued_request> displaceBelow(core::tier above);
    /** Takes out the requests whose latest start is before `now`. */
    std::vector<queued_request> removeOverdue(core::time_point now);
    /** Requests whose latest start is before `time`, by latest start, at most `limit` of them. */
    std::vector<const queued_request *> startingBefore(core::time_point time,
                                                       std::size_t limit) const;

    /** Offers no request of this node until `resume`. */
    void suspend(core::incarnation incarnation);
    void resume(core::incarnation incarnation);
    /** Takes out all requests of a node. */
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
        /** Arrival of the first request; the same in every run, unlike an address. */
        std::uint64_t firstArrival = 0;
        /** Virtual time at which the next request of the team starts. */
        double startTag = 0;
        /** Virtual time at which the team's last served request ends. */
        double finishTag = 0;
    };

    /** Start tag, first arrival of the team and its queue; equal tags keep the arrival order. */
    using active_team = std::tuple<double, std::uint64_t, team_queue *>;

    struct lane_queue
    {
        std::unordered_map<core::team_name, team_queue> teams;
        /** Teams with requests by start tag; a map keeps its nodes in place. */
        std::set<active_team> active;
        double virtualTime = 0;
    };

    lane_queue &laneOf(const entry &item);
    void enterLane(entry &item);
    void leaveLane(entry &item);
    queued_request take(entry &item);
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
