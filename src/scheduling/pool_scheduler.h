#pragma once

#include "core/incarnation.h"
#include "core/name.h"
#include "core/time_point.h"
#include "scheduling/engine_explanation.h"
#include "scheduling/lease_vote.h"
#include "scheduling/load_report.h"
#include "scheduling/outgoing.h"
#include "scheduling/permit_release.h"
#include "scheduling/permit_request.h"
#include "scheduling/pool_snapshot.h"
#include "scheduling/scheduler_options.h"
#include "sheet/engine_info.h"
#include "sheet/sheet.h"

#include <cstddef>
#include <memory>
#include <span>
#include <vector>

namespace comfreypass::scheduling {

class pool_state;

/**
 * Schedules one upstream: holds votes, queues requests, and grants permits within the vote share.
 *
 * Each step returns the messages to send. Call `tick` at least every 100 ms. Times are those of the
 * local monotonic clock and must not decrease. Keep the object, rather than a new one, when the
 * node becomes scheduler again. Not thread-safe.
 */
class pool_scheduler
{
public:
    /** The scheduler is inactive, and refuses requests, until `start`. */
    explicit pool_scheduler(core::upstream_name upstream, scheduler_options options = {});
    ~pool_scheduler();
    pool_scheduler(pool_scheduler &&) noexcept;
    pool_scheduler &operator=(pool_scheduler &&) noexcept;

    /** Begins to poll. Within one lease after `stepDown` it takes effect only when that has passed.
     */
    std::vector<outgoing> start(core::time_point now);
    /** Returns all votes, refuses what is queued and grants nothing more until `start`. */
    std::vector<outgoing> stepDown(core::time_point now);
    bool active() const;

    std::vector<outgoing> setSheet(std::shared_ptr<const sheet::sheet> sheet, core::time_point now);
    /** Sets the instances of the upstream; instances of others in the list are skipped. */
    std::vector<outgoing> setEngines(std::span<const sheet::engine_info> engines,
                                     core::time_point now);
    /** Sets the live nodes, the own one included, and the number of listed nodes. */
    std::vector<outgoing> setVoters(std::span<const core::node_identity> live,
                                    std::size_t listedCount, core::time_point now);

    std::vector<outgoing> onPermitRequest(const core::node_identity &from,
                                          const permit_request &request, core::time_point now);
    std::vector<outgoing> onRelease(const core::node_identity &from, const permit_release &release,
                                    core::time_point now);
    std::vector<outgoing> onVote(const core::node_identity &from, const lease_vote &vote,
                                 core::time_point now);
    std::vector<outgoing> onLoadReport(const load_report &report, core::time_point now);
    /** The node's process is gone: drops its vote and its waiting requests. */
    std::vector<outgoing> onNodeLost(const core::node_identity &node, core::time_point now);
    /** Polls, expires votes and requests, preempts, and repeats unanswered preempt orders. */
    std::vector<outgoing> tick(core::time_point now);

    pool_snapshot snapshot(core::time_point now) const;
    /** For a request: each engine with its estimate or the reason why it is not usable. */
    std::vector<engine_explanation> explain(const permit_request &request,
                                            core::time_point now) const;

private:
    std::unique_ptr<pool_state> m_state;
};

} // namespace comfreypass::scheduling
