#include "experiment/shipped_placement.h"

#include <algorithm>
#include <chrono>

namespace comfreypass::experiment {

namespace {

using namespace dispatch;
using namespace std::chrono_literals;

constexpr const char *upstreamName = "u";

// As in gateway_node, which holds them for real messages.
constexpr core::duration shortestStatusInterval = 150ms;
constexpr core::duration statusIntervalPerPeer = 4ms;
constexpr core::duration lookInterval = 20ms;
constexpr core::duration longestWait = 1'200ms;
constexpr int waitPercent = 25;

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
    core::time_point nextStatus{};
    core::time_point nextLook{};
    std::uint64_t sequence = 0;
};

shipped_placement::shipped_placement(const experiment_plan &plan, placement_host &host)
    : m_plan(plan), m_host(host),
      m_statusInterval(std::max<core::duration>(
          shortestStatusInterval, statusIntervalPerPeer * static_cast<int>(plan.nodes)))
{
    for (std::uint32_t i = 0; i < plan.nodes; ++i) {
        auto &made = m_nodes.emplace_back(std::make_unique<node>(
            i + 1, domainOf(i, plan.domains), plan.seed * (plan.nodes + 1) + i + 1));
        made->decisions.setLoadAge(m_statusInterval / 2);
        // Nodes do not send and look in step.
        made->nextLook
            = host.now() + lookInterval * static_cast<int>(i) / static_cast<int>(plan.nodes);
        made->nextStatus
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
    node &taker = *m_nodes[request.node];
    const admission_decision decision = taker.decisions.submit(admissionOf(request), m_host.now());
    if (decision.outcome == admission_outcome::Refuse) {
        m_host.refuse(request.id);
        return;
    }
    if (decision.outcome == admission_outcome::Wait)
        return;
    sendEngineUpdates(taker);
    m_host.start(request.id, m_engineByName.at(decision.engine.id));
}

void shipped_placement::onFirstEvent(const simulated_request &request, std::size_t engine,
                                     core::duration time)
{
    node &taker = *m_nodes[request.node];
    taker.registry.onBytes(m_names[engine], m_host.now());
    taker.registry.onFirstEvent(m_names[engine], request.promptTokens, time);
    taker.decisions.onFirstEvent(upstreamName, m_plan.requests[request.profile].priority, time);
}

void shipped_placement::onEnd(const simulated_request &request, std::size_t engine,
                              attempt_result result, core::duration ran)
{
    deliverDue();
    node &taker = *m_nodes[request.node];
    if (result == attempt_result::Served)
        taker.registry.onEventInterval(m_names[engine], ran / static_cast<int>(request.events));
    taker.decisions.onEnd(upstreamName, m_names[engine], result, ran, m_host.now());
    poll(taker, poll_trigger::OwnCompletion);
    sendEngineUpdates(taker);
}

void shipped_placement::onGone(const simulated_request &request)
{
    m_nodes[request.node]->decisions.cancel(request.id);
}

void shipped_placement::onTick()
{
    deliverDue();
    const core::time_point now = m_host.now();
    for (const auto &each : m_nodes) {
        if (now < each->nextLook)
            continue;
        each->nextLook = now + lookInterval;
        each->subsetting.update(each->fleet.activeNodes(now));
        for (const core::request_id id : each->decisions.takeExpired(now))
            m_host.refuse(id);
        poll(*each, poll_trigger::RemoteChange);
        sendEngineUpdates(*each);
        if (now >= each->nextStatus)
            sendStatus(*each);
    }
}

admission_request shipped_placement::admissionOf(const simulated_request &request) const
{
    const request_profile &profile = m_plan.requests[request.profile];
    const core::duration patience
        = std::min<core::duration>(profile.timeout * waitPercent / 100, longestWait);
    admission_request result;
    result.id = request.id;
    result.upstream = upstreamName;
    result.priority = profile.priority;
    result.objectiveAt = request.arrivedAt + profile.objective;
    result.queueDeadline = request.arrivedAt + patience;
    for (const std::size_t engine : request.tried)
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
    from.nextStatus = m_host.now() + m_statusInterval;
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
    post([this, status = std::move(status)] {
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
        post([this, to = m_nodes[address - 1].get(), update = std::move(update)] {
            if (!to->fleet.acceptEngineUpdate(update))
                return;
            for (const engine_load &load : update.loads)
                to->registry.setPeerLoad(update.address, load);
            for (const engine_key key : update.ejected)
                to->registry.onPeerEjected(key, m_host.now());
        });
    }
}

void shipped_placement::post(std::function<void()> deliver)
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
