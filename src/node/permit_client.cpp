#include "node/permit_client.h"

#include <utility>
#include <vector>

namespace comfreypass::node {

namespace {

bool schedulerIsChanging(scheduling::refusal_reason reason)
{
    return reason == scheduling::refusal_reason::NotScheduler
           || reason == scheduling::refusal_reason::LeaseLost;
}

} // namespace

permit_client::permit_client(message_sender &sender, core::time_point start, core::duration lease)
    : m_sender(sender), m_ledger(start, lease)
{ }

bool permit_client::request(const scheduling::permit_request &message,
                            std::weak_ptr<permit_events> events, core::time_point now)
{
    if (m_pending.size() >= maxPending)
        return false;
    pending_request &entry = m_pending[message.request];
    entry.message = message;
    entry.events = std::move(events);
    sendRequest(entry, now);
    return true;
}

void permit_client::cancel(core::request_id request, core::time_point now)
{
    const auto found = m_pending.find(request);
    if (found != m_pending.end()) {
        if (found->second.lastScheduler) {
            scheduling::permit_release withdrawal;
            withdrawal.request = request;
            withdrawal.upstream = found->second.message.upstream;
            withdrawal.result = scheduling::dispatch_result::NotDispatched;
            m_sender.send(found->second.lastScheduler->name, withdrawal);
        }
        m_pending.erase(found);
    }
    scheduling::permit_release unused;
    unused.result = scheduling::dispatch_result::NotDispatched;
    finish(request, unused, now);
}

bool permit_client::startDispatch(core::request_id request, core::time_point now)
{
    const scheduling::local_dispatches::entry *entry = m_dispatches.find(request);
    if (!entry || !m_ledger.mayUse(entry->grantor, entry->permit, now))
        return false;
    return m_dispatches.start(request, now);
}

void permit_client::finish(core::request_id request, scheduling::permit_release report,
                           core::time_point now)
{
    m_dispatchEvents.erase(request);
    const std::optional<scheduling::local_dispatches::entry> entry = m_dispatches.finish(request);
    if (!entry)
        return;
    report.request = request;
    report.permit = entry->permit.permit;
    report.upstream = entry->permit.upstream;
    // A successor of the grantor knows the dispatch from this node's vote, so the report goes to
    // it.
    const std::optional<core::node_identity> holder = m_ledger.holder(entry->permit.upstream, now);
    m_sender.send(holder ? holder->name : entry->grantor.name, report);
}

void permit_client::onPoll(const core::node_identity &from, const scheduling::lease_poll &poll,
                           core::time_point now)
{
    m_sender.send(from.name, m_ledger.onPoll(from, poll, m_dispatches.running(poll.upstream), now));
}

void permit_client::onStepDown(const core::node_identity &from,
                               const scheduling::step_down &message)
{
    m_ledger.onStepDown(from, message);
}

void permit_client::onGrant(const core::node_identity &from, const scheduling::permit_grant &permit,
                            core::time_point now)
{
    const auto found = m_pending.find(permit.request);
    if (found == m_pending.end()) {
        // A duplicate grant of a permit that is in use needs no reply.
        const scheduling::local_dispatches::entry *known = m_dispatches.find(permit.request);
        if (!known || known->permit.permit != permit.permit)
            returnPermit(permit, from.name);
        return;
    }
    const std::shared_ptr<permit_events> events = found->second.events.lock();
    if (!events || !m_ledger.mayUse(from, permit, now)
        || !m_dispatches.onGrant(from, permit, found->second.message, now)) {
        returnPermit(permit, from.name);
        if (!events)
            m_pending.erase(found);
        return;
    }
    m_pending.erase(found);
    m_dispatchEvents.insert_or_assign(permit.request, events);
    events->onPermit(permit);
}

void permit_client::onRefusal(const scheduling::permit_refusal &refusal, core::time_point now)
{
    const auto found = m_pending.find(refusal.request);
    if (found == m_pending.end())
        return;
    if (schedulerIsChanging(refusal.reason)) {
        found->second.nextSendAt = now + retryInterval;
        return;
    }
    const std::shared_ptr<permit_events> events = found->second.events.lock();
    m_pending.erase(found);
    if (events)
        events->onPermitRefused(refusal);
}

void permit_client::onPreempt(const scheduling::preempt_order &order)
{
    const auto found = m_dispatchEvents.find(order.request);
    if (found == m_dispatchEvents.end())
        return;
    if (const std::shared_ptr<permit_events> events = found->second.lock())
        events->onPreempted();
}

void permit_client::tick(core::time_point now)
{
    refuseExpired(now);
    for (auto &[request, entry] : m_pending) {
        const std::optional<core::node_identity> holder
            = m_ledger.holder(entry.message.upstream, now);
        const bool changed = holder && holder != entry.lastScheduler;
        if (changed || now >= entry.nextSendAt)
            sendRequest(entry, now);
    }
    for (const scheduling::local_dispatches::entry &expired : m_dispatches.dropExpired(now)) {
        m_dispatchEvents.erase(expired.permit.request);
        returnPermit(expired.permit, expired.grantor.name);
    }
}

std::optional<core::node_identity> permit_client::schedulerOf(const core::upstream_name &upstream,
                                                              core::time_point now) const
{
    return m_ledger.holder(upstream, now);
}

void permit_client::sendRequest(pending_request &request, core::time_point now)
{
    request.nextSendAt = now + retryInterval;
    request.lastScheduler = m_ledger.holder(request.message.upstream, now);
    if (request.lastScheduler)
        m_sender.send(request.lastScheduler->name, request.message);
}

void permit_client::returnPermit(const scheduling::permit_grant &permit,
                                 const core::node_name &grantor)
{
    scheduling::permit_release unused;
    unused.request = permit.request;
    unused.permit = permit.permit;
    unused.upstream = permit.upstream;
    unused.result = scheduling::dispatch_result::NotDispatched;
    m_sender.send(grantor, unused);
}

void permit_client::refuseExpired(core::time_point now)
{
    std::vector<core::request_id> expired;
    for (const auto &[request, entry] : m_pending) {
        if (now >= entry.message.deadline || entry.events.expired())
            expired.push_back(request);
    }
    for (const core::request_id request : expired) {
        const auto node = m_pending.extract(request);
        if (node.empty())
            continue;
        const std::shared_ptr<permit_events> events = node.mapped().events.lock();
        if (!events)
            continue;
        const auto reason = node.mapped().lastScheduler
                                ? scheduling::refusal_reason::DeadlineUnreachable
                                : scheduling::refusal_reason::LeaseLost;
        events->onPermitRefused({request, node.mapped().message.upstream, reason, {}});
    }
}

} // namespace comfreypass::node
