#include "experiment/shipped_placement.h"

#include <algorithm>
#include <chrono>

namespace comfreypass::experiment {

namespace {

using namespace dispatch;
using namespace std::chrono_literals;

constexpr const char *upstreamName = "u";

// Same values as in gateway_node and request_flow.
constexpr core::duration minStatusInterval = 150ms;
constexpr core::duration statusIntervalPerPeer = 4ms;
constexpr core::duration pollInterval = 20ms;
constexpr core::duration maxQueueTime = 1'200ms;
constexpr int maxQueuePercent = 25;

std::string domainOf(std::size_t number, std::uint32_t domains)
{
    return "d" + std::to_string(number % domains);
}

} // namespace

struct shipped_placement::node
{
    node(std::uint32_t number, const std::string &domain, std::uint32_t seed)
        : address(number), registry(domain, seed), fleet(number, domain, {}),
          subsetting(number, registry), decisions(registry, fleet, seed)
    { }

    std::uint32_t address;
    engine_registry registry;
    fleet_view fleet;
    engine_subsetting subsetting;
    admission decisions;
    core::time_point nextStatusAt{};
    core::time_point nextPollAt{};
    std::uint64_t sequence = 0;
};

shipped_placement::shipped_placement(const experiment_plan &plan, placement_host &host)
    : m_plan(plan), m_host(host),
      m_statusInterval(std::max<core::duration>(
          minStatusInterval, statusIntervalPerPeer * static_cast<int>(plan.nodes)))
{
    for (std::uint32_t i = 0; i < plan.nodes; ++i) {
        auto &created = m_nodes.emplace_back(std::make_unique<node>(
            i + 1, domainOf(i, plan.domains), plan.seed * (plan.nodes + 1) + i + 1));
        created->decisions.setLoadAge(m_statusInterval / 2);
        // The offsets keep the nodes from polling and sending at the same time.
        created->nextPollAt
            = host.now() + pollInterval * static_cast<int>(i) / static_cast<int>(plan.nodes);
        created->nextStatusAt
            = host.now() + m_statusInterval * static_cast<int>(i) / static_cast<int>(plan.nodes);
    }
    for (const engine_group &group : plan.engines) {
        for (std::uint32_t i = 0; i < group.count; ++i) {
            const std::size_t number = m_names.size();
            m_names.push_back("e" + std::to_string(number));
            m_engineByName.emplace(m_names.back(), number);
            for (const auto &each : m_nodes)
                each->registry.update({.id = m_names.back(),
                                       .upstream = upstreamName,
                                       .address = "127.0.0.1:1",
                                       .domain = domainOf(number, plan.domains),
                                       .slots = group.slots},
                                      nullptr, host.now());
        }
    }
}

shipped_placement::~shipped_placement() = default;

void shipped_placement::onRequest(const simulated_request &request)
{
    deliverDue();
    node &receiver = *m_nodes[request.node];
    const admission_decision decision
        = receiver.decisions.submit(admissionOf(request), m_host.now());
    if (decision.outcome == admission_outcome::Refuse) {
        m_host.refuse(request.id);
        return;
    }
    if (decision.outcome == admission_outcome::Wait)
        return;
    sendEngineUpdates(receiver);
    m_host.start(request.id, m_engineByName.at(decision.engine.id));
}

void shipped_placement::onFirstEvent(const simulated_request &request, std::size_t engine,
                                     core::duration time)
{
    node &receiver = *m_nodes[request.node];
    receiver.registry.onBytes(m_names[engine], m_host.now());
    receiver.registry.onFirstEvent(m_names[engine], request.promptTokens, time);
    receiver.decisions.onFirstEvent(upstreamName, m_plan.requests[request.profile].priority, time);
}

void shipped_placement::onEnd(const simulated_request &request, std::size_t engine,
                              attempt_result result, core::duration serviceTime)
{
    deliverDue();
    node &receiver = *m_nodes[request.node];
    if (result == attempt_result::Served)
        receiver.registry.onEventInterval(m_names[engine],
                                          serviceTime / static_cast<int>(request.events));
    receiver.decisions.onEnd(upstreamName, m_names[engine], result, serviceTime, m_host.now());
    poll(receiver, poll_trigger::OwnCompletion);
    sendEngineUpdates(receiver);
}

void shipped_placement::onFinished(const simulated_request &request)
{
    m_nodes[request.node]->decisions.cancel(request.id);
}

void shipped_placement::onTick()
{
    deliverDue();
    const core::time_point now = m_host.now();
    for (const auto &each : m_nodes) {
        if (now < each->nextPollAt)
            continue;
        each->nextPollAt = now + pollInterval;
        each->subsetting.update(each->fleet.activeNodes(now));
        for (const core::request_id id : each->decisions.takeExpired(now))
            m_host.refuse(id);
        poll(*each, poll_trigger::RemoteChange);
        sendEngineUpdates(*each);
        if (now >= each->nextStatusAt)
            sendStatus(*each);
    }
}

admission_request shipped_placement::admissionOf(const simulated_request &request) const
{
    const request_profile &profile = m_plan.requests[request.profile];
    const core::duration maxWait
        = std::min<core::duration>(profile.timeout * maxQueuePercent / 100, maxQueueTime);
    admission_request result;
    result.id = request.id;
    result.upstream = upstreamName;
    result.priority = profile.priority;
    result.objectiveAt = request.arrivedAt + profile.objective;
    result.queueDeadline = request.arrivedAt + maxWait;
    for (const std::size_t engine : request.triedEngines)
        result.excluded.push_back(m_names[engine]);
    result.promptTokens = request.promptTokens;
    result.objective = profile.objective;
    result.outputTokens = request.events;
    result.deadline = request.arrivedAt + profile.timeout;
    return result;
}

void shipped_placement::poll(node &target, poll_trigger trigger)
{
    if (std::exchange(m_polling, true))
        return;
    for (const admission_grant &grant : target.decisions.poll(upstreamName, trigger, m_host.now()))
        m_host.start(grant.id, m_engineByName.at(grant.engine.id));
    m_polling = false;
}

void shipped_placement::sendStatus(node &from)
{
    from.nextStatusAt = m_host.now() + m_statusInterval;
    node_status status;
    status.address = from.address;
    status.incarnation = 1;
    status.domain = domainOf(from.address - 1, m_plan.domains);
    status.ready = true;
    status.sequence = ++from.sequence;
    status.loads = from.registry.ownLoads();
    status.latencies = from.registry.takeNewLatencies(4);
    status.queues = from.decisions.queues();
    from.decisions.onPeerLoadsUpdated();
    postMessage([this, status = std::move(status)] {
        for (const auto &each : m_nodes) {
            if (each->address == status.address)
                continue;
            each->registry.onPeerLatencies(status.latencies);
            each->fleet.onStatus(status, m_host.now());
            each->registry.setPeerLoads(status.address, status.loads);
        }
    });
}

void shipped_placement::sendEngineUpdates(node &from)
{
    if (!from.registry.hasPendingUpdates())
        return;
    std::vector<std::uint32_t> peers;
    for (const auto &each : m_nodes) {
        if (each->address != from.address)
            peers.push_back(each->address);
    }
    for (auto &[address, update] : from.subsetting.takeUpdates(peers)) {
        update.address = from.address;
        update.incarnation = 1;
        update.sequence = ++from.sequence;
        postMessage([this, to = m_nodes[address - 1].get(), update = std::move(update)] {
            if (!to->fleet.acceptEngineUpdate(update))
                return;
            for (const engine_load &load : update.loads)
                to->registry.setPeerLoad(update.address, load);
            for (const engine_key key : update.ejected)
                to->registry.onPeerEjected(key, m_host.now());
        });
    }
}

void shipped_placement::postMessage(std::function<void()> deliver)
{
    m_messages.push_back({m_host.now() + m_plan.messageDelay, std::move(deliver)});
}

void shipped_placement::deliverDue()
{
    while (!m_messages.empty() && m_messages.front().at <= m_host.now()) {
        const message due = std::move(m_messages.front());
        m_messages.pop_front();
        due.deliver();
    }
}

} // namespace comfreypass::experiment
