#pragma once

#include "core/time_point.h"
#include "node/entry_node.h"
#include "node/request_record.h"
#include "observe/metric_registry.h"

namespace comfreypass::node {

/** Updates the metrics of one node. Not thread-safe. */
class node_metrics
{
public:
    /** The registry must outlive the object. */
    explicit node_metrics(observe::metric_registry &registry);

    /** Counts a request that ended. */
    void onRecord(const request_record &record);

    /** Updates the gauges and those counters whose totals the node's components keep. Call before
     * each export. */
    void refresh(const entry_node &node, core::time_point now);

private:
    void countTeam(const request_record &record, bool onTime);
    void recordTimes(const request_record &record);
    void refreshTraffic(const transport::peer_counters &counters);
    void refreshSchedulers(const scheduler_host &schedulers, core::time_point now);
    void refreshMembership(const membership::membership_agent &agent, core::time_point now);

    observe::metric_registry &m_registry;
};

} // namespace comfreypass::node
