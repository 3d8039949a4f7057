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
 * The pool schedulers of this node: one for each upstream of the sheet, active for those that
 * rendezvous hashing over the live view gives to this node. Not thread-safe.
 */
class scheduler_host
{
public:
    /** The sender must outlive the host. */
    scheduler_host(message_sender &sender, core::node_identity self,
                   scheduling::scheduler_options options);

    void setSheet(std::shared_ptr<const sheet::sheet> sheet, core::time_point now);
    void setEngines(std::vector<sheet::engine_info> engines, core::time_point now);
    /** Nodes that may schedule and vote; leaving nodes vote, but are no candidates. */
    void setView(std::vector<core::node_identity> voters,
                 std::span<const core::node_name> candidates, std::size_t listedCount,
                 core::time_point now);
    /** Names of the nodes of the instance list. */
    void setListed(const std::vector<core::node_name> &names, core::time_point now);
    void onNodeLost(const core::node_identity &node, core::time_point now);
    /** Gives all upstreams up; this node is no candidate any more. */
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

    /** Upstreams that this node schedules now. */
    std::vector<core::upstream_name> active() const;
    /** The scheduler of an upstream; null if the sheet does not name it. */
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
