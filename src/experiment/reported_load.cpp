#include "experiment/reported_load.h"

#include <algorithm>
#include <chrono>

namespace comfreypass::experiment {

namespace {

/** Interval of the engine load reports. */
constexpr core::duration reportInterval = std::chrono::milliseconds(1'500);

} // namespace

reported_load::reported_load(const experiment_plan &plan, placement_host &host,
                             choose_function choose)
    : m_host(host), m_choose(choose), m_random(plan.seed)
{
    for (const engine_group &group : plan.engines)
        m_slots.insert(m_slots.end(), group.count, group.slots);
    m_reports.resize(m_slots.size());
    m_ownRunning.assign(plan.nodes, std::vector<std::uint32_t>(m_slots.size(), 0));
}

std::size_t reported_load::randomEngine(const simulated_request & /*request*/,
                                        const std::vector<std::size_t> &usable)
{
    return usable[m_random() % usable.size()];
}

std::size_t reported_load::leastReported(const simulated_request & /*request*/,
                                         const std::vector<std::size_t> &usable)
{
    return *std::ranges::min_element(usable, {}, [this](std::size_t each) {
        return static_cast<double>(m_reports[each].load) / m_slots[each];
    });
}

std::size_t reported_load::lessLoadedOfTwo(const simulated_request &request,
                                           const std::vector<std::size_t> &usable)
{
    const std::size_t first = usable[m_random() % usable.size()];
    const std::size_t second = usable[m_random() % usable.size()];
    return loadOf(request.node, first) <= loadOf(request.node, second) ? first : second;
}

void reported_load::onRequest(const simulated_request &request)
{
    std::vector<std::size_t> usable;
    for (std::size_t i = 0; i < m_reports.size(); ++i) {
        if (m_reports[i].up
            && std::ranges::find(request.triedEngines, i) == request.triedEngines.end())
            usable.push_back(i);
    }
    if (usable.empty()) {
        m_host.refuse(request.id);
        return;
    }
    const std::size_t engine = (this->*m_choose)(request, usable);
    ++m_ownRunning[request.node][engine];
    m_host.start(request.id, engine);
}

void reported_load::onEnd(const simulated_request &request, std::size_t engine,
                          dispatch::attempt_result /*result*/, core::duration /*serviceTime*/)
{
    --m_ownRunning[request.node][engine];
}

void reported_load::onTick()
{
    if (m_host.now() - m_reportedAt < reportInterval)
        return;
    m_reportedAt = m_host.now();
    for (std::size_t i = 0; i < m_reports.size(); ++i)
        m_reports[i] = {m_host.actualLoad(i), m_host.isUp(i)};
}

double reported_load::loadOf(std::size_t node, std::size_t engine) const
{
    return static_cast<double>(m_reports[engine].load + m_ownRunning[node][engine])
           / m_slots[engine];
}

} // namespace comfreypass::experiment
