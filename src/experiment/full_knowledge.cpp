#include "experiment/full_knowledge.h"

#include <chrono>

namespace comfreypass::experiment {

namespace {

/** Weight of a new observation in the smoothed time to the first event. */
constexpr double firstEventWeight = 0.05;

} // namespace

full_knowledge::full_knowledge(const experiment_plan &plan, placement_host &host)
    : m_plan(plan), m_host(host), m_firstEventSeconds(plan.requests.size(), 0)
{
    for (const engine_group &group : plan.engines)
        m_slots.insert(m_slots.end(), group.count, group.slots);
    m_running.resize(m_slots.size());
}

void full_knowledge::onRequest(const simulated_request &request)
{
    m_queue.emplace(std::pair(m_plan.requests[request.profile].priority, request.id), request);
    startQueued();
}

void full_knowledge::onFirstEvent(const simulated_request &request, std::size_t /*engine*/,
                                  core::duration time)
{
    double &smoothed = m_firstEventSeconds[request.profile];
    const double value = std::chrono::duration<double>(time).count();
    smoothed = smoothed > 0 ? smoothed + firstEventWeight * (value - smoothed) : value;
}

void full_knowledge::onEnd(const simulated_request & /*request*/, std::size_t engine,
                           dispatch::attempt_result /*result*/, core::duration /*serviceTime*/)
{
    --m_running[engine];
    startQueued();
}

void full_knowledge::onFinished(const simulated_request &request)
{
    m_queue.erase({m_plan.requests[request.profile].priority, request.id});
}

void full_knowledge::startQueued()
{
    // The host may call back from start() or refuse().
    if (std::exchange(m_starting, true))
        return;
    while (!m_queue.empty()) {
        const simulated_request next = m_queue.begin()->second;
        const request_profile &profile = m_plan.requests[next.profile];
        const auto expected = std::chrono::duration_cast<core::duration>(
            std::chrono::duration<double>(m_firstEventSeconds[next.profile]));
        if (m_host.now() + expected > next.arrivedAt + profile.objective) {
            m_queue.erase(m_queue.begin());
            m_host.refuse(next.id);
            continue;
        }
        const std::size_t engine = leastLoaded();
        if (engine == m_slots.size())
            break;
        m_queue.erase(m_queue.begin());
        ++m_running[engine];
        m_host.start(next.id, engine);
    }
    m_starting = false;
}

std::size_t full_knowledge::leastLoaded() const
{
    std::size_t best = m_slots.size();
    double lowestLoad = 1;
    for (std::size_t i = 0; i < m_slots.size(); ++i) {
        const double load = static_cast<double>(m_running[i]) / m_slots[i];
        if (m_host.isUp(i) && load < lowestLoad) {
            lowestLoad = load;
            best = i;
        }
    }
    return best;
}

} // namespace comfreypass::experiment
