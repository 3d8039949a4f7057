#pragma once

#include "core/incarnation.h"
#include "core/time_point.h"
#include "node/message_sender.h"
#include "scheduling/pool_scheduler.h"
#include "sheet/engine_info.h"
#include "sheet/sheet.h"

#include <cstddef>
#include <map>
#include <memory>
#include <span>
#include <vector>

namespace comfreypass::node {

/**
 * The pool schedulers of this node, one for each upstream of the sheet. Those that rendezvous
 * hashing over the live view assigns to this node are active. Not thread-safe.
 */
class scheduler_host
{
public:
    /** The sender must outlive the host. */
    scheduler_host(message_sender &sender, core::node_identity self,
                   scheduling::scheduler_options options);

    void setSheet(std::shared_ptr<const sheet::sheet> sheet, core::time_point now);
    void setEngines(std::vector<sheet::engine_info> engines, core::time_point now);
    /** Sets the voters and the scheduler candidates; leaving nodes vote but are not candidates. */
    void setView(std::vector<core::node_identity> voters,
                 std::span<const core::node_name> candidates, std::size_t listedCount,
                 core::time_point now);
    /** Sets the names of the nodes in the instance list. */
    void setListed(const std::vector<core::node_name> &names, core::time_point now);
    void onNodeLost(const core::node_identity &node, core::time_point now);
    /** Stops scheduling all upstreams; this node is no longer a candidate. */
    void stepDown(core::time_point now);

    void onPermitRequest(const core::node_identity &from, const scheduling::permit_request &request,
                         core::time_point now);
    void onRelease(const core::node_identity &from, const scheduling::permit_release &release,
                   core::time_point now);
    void onVote(const core::node_identity &from, const scheduling::lease_vote &vote,
                core::time_point now);
    void onLoadReport(const core::upstream_name &upstream, const scheduling::load_report &report,
                      core::time_point now);
    void tick(core::time_point now);

    /** Returns the upstreams that this node currently schedules. */
    std::vector<core::upstream_name> active() const;
    /** Returns the local scheduler of an upstream, or null if no sheet has listed the upstream. */
    const scheduling::pool_scheduler *find(const core::upstream_name &upstream) const;

private:
    void send(std::vector<scheduling::outgoing> messages);
    void updateActivePools(core::time_point now);
    scheduling::pool_scheduler &createPool(const core::upstream_name &upstream,
                                           core::time_point now);

    message_sender &m_sender;
    core::node_identity m_self;
    scheduling::scheduler_options m_options;
    std::shared_ptr<const sheet::sheet> m_sheet;
    std::vector<sheet::engine_info> m_engines;
    std::vector<core::node_identity> m_voters;
    std::vector<core::node_name> m_candidates;
    std::size_t m_listedCount = 0;
    std::vector<core::node_name> m_listed;
    std::map<core::upstream_name, scheduling::pool_scheduler> m_pools;
};

} // namespace comfreypass::node
