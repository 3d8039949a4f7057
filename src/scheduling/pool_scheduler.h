#pragma once

#include "core/incarnation.h"
#include "core/name.h"
#include "core/time_point.h"
#include "scheduling/dispatch_table.h"
#include "scheduling/engine_explanation.h"
#include "scheduling/engine_table.h"
#include "scheduling/lease_holder.h"
#include "scheduling/lease_vote.h"
#include "scheduling/load_report.h"
#include "scheduling/outgoing.h"
#include "scheduling/permit_release.h"
#include "scheduling/permit_request.h"
#include "scheduling/pool_snapshot.h"
#include "scheduling/refusal_reason.h"
#include "scheduling/request_ref.h"
#include "scheduling/scheduler_options.h"
#include "scheduling/tier_queue.h"
#include "sheet/engine_info.h"
#include "sheet/sheet.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace comfreypass::scheduling {

/**
 * Schedules one upstream: holds votes, queues requests, and grants permits within the vote share.
 *
 * Each call returns the messages to send. Call `tick` at least every 100 ms. Times are those of the
 * local monotonic clock and must not decrease. Reuse the object when the node becomes scheduler
 * again. Not thread-safe.
 */
class pool_scheduler
{
public:
    /** The scheduler is inactive, and refuses requests, until `start`. */
    explicit pool_scheduler(core::upstream_name upstream, scheduler_options options = {});

    /** Starts polling. After `stepDown` the start is delayed until one lease has passed. */
    std::vector<outgoing> start(core::time_point now);
    /** Releases all votes, refuses the queued requests and grants no permits until `start`. */
    std::vector<outgoing> stepDown(core::time_point now);
    bool active() const noexcept { return m_lease.active(); }

    std::vector<outgoing> setSheet(std::shared_ptr<const sheet::sheet> sheet, core::time_point now);
    /** Sets the instances of the upstream; instances of other upstreams are skipped. */
    std::vector<outgoing> setEngines(std::span<const sheet::engine_info> engines,
                                     core::time_point now);
    /** Sets the live nodes, including this one, and the number of listed nodes. */
    std::vector<outgoing> setVoters(std::span<const core::node_identity> live,
                                    std::size_t listedCount, core::time_point now);

    /**
     * Sets the names of the nodes of the instance list. With names, each slot of a cold engine has
     * an owner, and no slot is lost by rounding a vote share down.
     */
    std::vector<outgoing> setListedNodes(std::vector<core::node_name> names, core::time_point now);

    std::vector<outgoing> onPermitRequest(const core::node_identity &from,
                                          const permit_request &request, core::time_point now);
    std::vector<outgoing> onRelease(const core::node_identity &from, const permit_release &release,
                                    core::time_point now);
    std::vector<outgoing> onVote(const core::node_identity &from, const lease_vote &vote,
                                 core::time_point now);
    std::vector<outgoing> onLoadReport(const load_report &report, core::time_point now);
    /** Drops the vote and the queued requests of a node whose process has stopped. */
    std::vector<outgoing> onNodeLost(const core::node_identity &node, core::time_point now);
    /** Polls, expires votes and requests, preempts, and resends outstanding preempt orders. */
    std::vector<outgoing> tick(core::time_point now);

    pool_snapshot snapshot(core::time_point now) const;
    /** Returns, for each engine, its estimate for a request or the reason why it is not usable. */
    std::vector<engine_explanation> explain(const permit_request &request,
                                            core::time_point now) const;

private:
    using outbox = std::vector<outgoing>;

    void startIfDue(core::time_point now, outbox &out);
    void pollLive(core::time_point now, outbox &out);
    lease_poll makePoll(std::uint64_t sequence, std::vector<ramp_state> ramps) const;
    std::size_t totalNodes() const;
    void updateShares(core::time_point now);
    /** Applies the expiries since the last call. */
    void advance(core::time_point now, outbox &out);

    std::optional<refusal_reason> refusalFor(const core::node_identity &from,
                                             const permit_request &request) const;
    engine_table::engine_demand demandOf(const permit_request &request, core::time_point now) const;
    bool isSmall(const request_cost &cost) const;
    /** Frees space in a full queue; returns false if the request is refused for capacity. */
    bool freeQueueSpace(const permit_request &request, core::time_point now, outbox &out);
    void enqueue(const core::node_identity &from, const permit_request &request,
                 core::time_point latestStart, core::time_point now);

    void dispatchQueued(core::time_point now, outbox &out);
    bool grantNext(core::tier tier, core::time_point now, outbox &out);
    void grant(queued_request item, const engine_table::choice &choice, core::time_point now,
               outbox &out);
    permit_grant grantOf(const dispatch_table::record &item) const;
    void refuse(const queued_request &item, refusal_reason reason, outbox &out);
    /** Updates the accounting for a request that left the queue without a grant. */
    void untrackQueued(const std::optional<queued_request> &item);
    /** Refuses a request that was removed from the queue. */
    void dropQueued(const queued_request &item, refusal_reason reason, outbox &out);
    void refuseAll(std::span<const queued_request> items, refusal_reason reason, outbox &out);

    void preemptUrgent(core::time_point now, outbox &out);
    void preempt(const dispatch_table::record &victim, core::time_point now, outbox &out);
    preempt_order orderFor(const dispatch_table::record &victim) const;

    void importRamps(std::span<const ramp_state> states);
    /** Records the dispatches that a vote lists and returns their keys. */
    std::unordered_set<request_ref> recordRunning(const core::node_identity &from,
                                                  const lease_vote &vote, core::time_point now);
    void addForeign(const request_ref &ref, const core::node_identity &from,
                    const running_dispatch &item, core::time_point now);
    void updateEstimates(const dispatch_table::record &item, const permit_release &release,
                         core::time_point now);
    void recordFirstToken(const dispatch_table::record &item, core::duration measured,
                          core::duration estimated);
    /** Frees the slot of a dispatch that has ended. */
    void releaseSlot(const dispatch_table::record &item, core::time_point now, outbox &out);
    void grantToClaimant(const request_ref &claimant, core::time_point now, outbox &out);
    void countInFlight(const core::team_name &team, core::tier tier, int change);

    core::upstream_name m_upstream;
    scheduler_options m_options;
    std::shared_ptr<const sheet::sheet> m_sheet;
    std::size_t m_listedNodes = 1;
    /** Sorted; empty until the owner knows the instance list. */
    std::vector<core::node_name> m_listedNames;

    lease_holder m_lease;
    tier_queue m_queue;
    engine_table m_engines;
    dispatch_table m_dispatches;
    /** Requests queued or running, by team and tier. */
    std::unordered_map<core::team_name, std::array<std::uint32_t, core::tierCount>> m_inFlight;
    /** Preempted dispatches and the queued requests that are to receive their slots. */
    std::unordered_map<request_ref, request_ref> m_claimants;
    std::unordered_set<request_ref> m_claiming;

    /** Cancelled dispatches that still count on cold engines, ordered by release time. */
    std::deque<std::pair<core::time_point, dispatch_table::record>> m_delayedReleases;

    bool m_startRequested = false;
    core::time_point m_earliestStart{};
    core::permit_id m_lastPermit = 0;
    pool_snapshot m_counters;
};

} // namespace comfreypass::scheduling
