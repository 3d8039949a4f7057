#pragma once

#include "core/incarnation.h"
#include "core/time_point.h"
#include "node/message_sender.h"
#include "node/permit_events.h"
#include "scheduling/lease_poll.h"
#include "scheduling/local_dispatches.h"
#include "scheduling/permit_release.h"
#include "scheduling/permit_request.h"
#include "scheduling/preempt_order.h"
#include "scheduling/step_down.h"
#include "scheduling/vote_ledger.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <unordered_map>

namespace comfreypass::node {

/**
 * Client side of scheduling: requests permits from schedulers, replies to their lease polls and
 * tracks which permits this node may still use. Not thread-safe.
 */
class permit_client
{
public:
    /** Interval between retries of a permit request without a reply. */
    static constexpr core::duration retryInterval = std::chrono::milliseconds(250);
    static constexpr std::size_t maxPending = 1'024;

    /** The sender must outlive the client. */
    permit_client(message_sender &sender, core::time_point start, core::duration lease);

    /** Requests a permit. Returns false if the table is full; `events` is then never called. */
    bool request(const scheduling::permit_request &message, std::weak_ptr<permit_events> events,
                 core::time_point now);

    /** Cancels a request and returns its permit, if it has one. Precondition: not dispatched. */
    void cancel(core::request_id request, core::time_point now);

    /**
     * Checks the permit directly before the request is written. Returns true if the permit, the
     * granted lease that it depends on and the deadline are still valid, and then consumes the
     * permit.
     */
    bool startDispatch(core::request_id request, core::time_point now);

    /** Reports to the scheduler that the dispatch ended or will not take place. */
    void finish(core::request_id request, scheduling::permit_release report, core::time_point now);

    void onPoll(const core::node_identity &from, const scheduling::lease_poll &poll,
                core::time_point now);
    void onStepDown(const core::node_identity &from, const scheduling::step_down &message);
    void onGrant(const core::node_identity &from, const scheduling::permit_grant &permit,
                 core::time_point now);
    void onRefusal(const scheduling::permit_refusal &refusal, core::time_point now);
    void onPreempt(const scheduling::preempt_order &order);

    /** Retries requests, drops expired ones and returns unused permits. */
    void tick(core::time_point now);

    /** Returns the scheduler that holds this node's lease grant for the upstream, if any. */
    std::optional<core::node_identity> schedulerOf(const core::upstream_name &upstream,
                                                   core::time_point now) const;

    std::size_t pending() const noexcept { return m_pending.size(); }
    std::size_t dispatches() const noexcept { return m_dispatches.size(); }

private:
    struct pending_request
    {
        scheduling::permit_request message;
        std::weak_ptr<permit_events> events;
        /** Scheduler of the last attempt; a new scheduler gets the request without delay. */
        std::optional<core::node_identity> lastScheduler;
        core::time_point nextSendAt;
    };

    void sendRequest(pending_request &request, core::time_point now);
    void returnPermit(const scheduling::permit_grant &permit, const core::node_name &grantor);
    void refuseExpired(core::time_point now);

    message_sender &m_sender;
    scheduling::vote_ledger m_ledger;
    scheduling::local_dispatches m_dispatches;
    std::unordered_map<core::request_id, pending_request> m_pending;
    /** Sessions with a permit or a running dispatch; they receive preempt orders. */
    std::unordered_map<core::request_id, std::weak_ptr<permit_events>> m_dispatchEvents;
};

} // namespace comfreypass::node
