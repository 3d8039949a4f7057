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
 * The entry side of scheduling: asks schedulers for permits, answers their polls, and knows which
 * permits this node may still use. Not thread-safe.
 */
class permit_client
{
public:
    /** Pause between two repeats of an unanswered permit request. */
    static constexpr core::duration retryInterval = std::chrono::milliseconds(250);
    static constexpr std::size_t maxPending = 1'024;

    /** The sender must outlive the client. */
    permit_client(message_sender &sender, core::time_point start, core::duration lease);

    /** Asks for a permit. False if the table is full; `events` is then not called. */
    bool request(const scheduling::permit_request &message, std::weak_ptr<permit_events> events,
                 core::time_point now);

    /** The request is not wanted any more; a permit for it is given back. Precondition: not
     * dispatched. */
    void cancel(core::request_id request, core::time_point now);

    /**
     * The scheduling part of the dispatch gate, to be called directly before the request is
     * written: true if the permit, the promise it rests on and the deadline are still valid. The
     * permit is used up by it.
     */
    bool startDispatch(core::request_id request, core::time_point now);

    /** The dispatch has ended, or will not take place; reports to the scheduler. */
    void finish(core::request_id request, scheduling::permit_release report, core::time_point now);

    void onPoll(const core::node_identity &from, const scheduling::lease_poll &poll,
                core::time_point now);
    void onStepDown(const core::node_identity &from, const scheduling::step_down &message);
    void onGrant(const core::node_identity &from, const scheduling::permit_grant &permit,
                 core::time_point now);
    void onRefusal(const scheduling::permit_refusal &refusal, core::time_point now);
    void onPreempt(const scheduling::preempt_order &order);

    /** Repeats requests, drops expired ones and gives unused permits back. */
    void tick(core::time_point now);

    /** The scheduler that this node's share of the upstream is promised to. */
    std::optional<core::node_identity> schedulerOf(const core::upstream_name &upstream,
                                                   core::time_point now) const;

    std::size_t pending() const noexcept { return m_pending.size(); }
    std::size_t dispatches() const noexcept { return m_dispatches.size(); }

private:
    struct pending_request
    {
        scheduling::permit_request message;
        std::weak_ptr<permit_events> events;
        /** Last scheduler asked; another one is asked at once. */
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
    /** Sessions of dispatches, for preempt orders. */
    std::unordered_map<core::request_id, std::weak_ptr<permit_events>> m_dispatchEvents;
};

} // namespace comfreypass::node
