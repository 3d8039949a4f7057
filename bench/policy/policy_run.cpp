#include "policy/policy_run.h"

#include "policy/workload.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>
#include <variant>

using namespace comfreypass;
using namespace comfreypass::scheduling;

namespace {

const core::upstream_name upstream{"assistente"};
constexpr auto tickInterval = std::chrono::milliseconds{50};
/** Interval between load reports, and the age of a report when a policy receives it. */
constexpr auto reportInterval = std::chrono::seconds{1};

core::engine_name engineName(std::size_t index)
{
    return core::engine_name{"engine-" + std::to_string(index)};
}

core::team_name teamName(std::size_t index)
{
    return core::team_name{"team-" + std::to_string(index)};
}

std::string generationName(std::size_t index)
{
    return "g" + std::to_string(index);
}

core::duration timeFor(double tokens, double rate)
{
    return std::chrono::duration_cast<core::duration>(std::chrono::duration<double>(tokens / rate));
}

} // namespace

policy_run::policy_run(std::vector<sample_request> requests, std::optional<baseline::rule> rule,
                       std::optional<outage> out, std::uint64_t seed)
    : m_requests(std::move(requests)), m_jobs(m_requests.size()), m_results(m_requests.size()),
      m_engines(workload::engineCount), m_views(workload::engineCount),
      m_nextReported(workload::engineCount), m_outage(out)
{
    if (rule)
        m_baseline.emplace(*rule, seed);
    for (std::size_t i = 0; i < m_engines.size(); ++i)
        m_engines[i].spec = workload::generationSpec(workload::generationOf(i));
}

std::vector<policy_run::request_result> policy_run::run()
{
    for (std::size_t i = 0; i < m_requests.size(); ++i) {
        schedule(m_requests[i].arrival, event_kind::Arrival, i);
        schedule(m_requests[i].deadline, event_kind::Deadline, i);
        m_end = std::max(m_end, m_requests[i].deadline);
    }
    if (m_outage) {
        schedule(m_outage->begin, event_kind::OutageBegin);
        schedule(m_outage->end, event_kind::OutageEnd);
    }
    schedule(m_now + reportInterval, event_kind::Report);
    if (!m_baseline)
        startScheduler();
    while (!m_events.empty()) {
        const event next = m_events.top();
        m_events.pop();
        m_now = next.time;
        handle(next);
    }
    return m_results;
}

void policy_run::startScheduler()
{
    m_scheduler = std::make_unique<pool_scheduler>(upstream);
    emit(m_scheduler->setSheet(makeSheet(false), m_now));
    std::vector<sheet::engine_info> list;
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
        const bool fails = m_outage && i < m_outage->engines;
        list.push_back({engineName(i), upstream, core::domain_name{fails ? "braga" : "porto"},
                        generationName(workload::generationOf(i)), "127.0.0.1:1", false});
    }
    emit(m_scheduler->setEngines(list, m_now));
    emit(m_scheduler->setVoters(std::span{&m_node, 1}, 1, m_now));
    emit(m_scheduler->start(m_now));
    schedule(m_now, event_kind::Tick);
}

void policy_run::handle(const event &item)
{
    job &current = m_jobs.at(item.request);
    switch (item.kind) {
    case event_kind::PrefillDone: {
        // Ignores the event if the request is no longer at an engine.
        if (!current.engine || current.firstToken)
            return;
        engine &target = m_engines[*current.engine];
        target.prefills.pop_front();
        current.firstToken = m_now;
        const sample_request &request = m_requests[item.request];
        m_results[item.request].prefillTokens = request.actual.prefillTokens;
        schedule(m_now + timeFor(request.actual.decodeTokens, target.spec.decodeTokensPerSecond),
                 event_kind::DecodeDone, item.request);
        startPrefill(target);
        return;
    }
    case event_kind::DecodeDone:
        if (current.engine)
            leave(item.request, outcome::OnTime);
        return;
    case event_kind::Deadline:
        if (current.engine)
            leave(item.request, outcome::Late);
        return;
    case event_kind::Tick:
        emit(m_scheduler->tick(m_now));
        if (m_now < m_end)
            schedule(m_now + tickInterval, event_kind::Tick);
        return;
    case event_kind::Report:
        report();
        return;
    case event_kind::OutageBegin:
    case event_kind::OutageEnd:
        setOutage(item.kind == event_kind::OutageBegin);
        return;
    case event_kind::Arrival:
        arrive(item.request);
        return;
    }
}

void policy_run::arrive(std::size_t request)
{
    if (m_baseline) {
        dispatch(request, m_baseline->choose(m_views));
        return;
    }
    const sample_request &item = m_requests[request];
    permit_request permitRequest;
    permitRequest.request = request;
    permitRequest.upstream = upstream;
    permitRequest.tier = item.tier;
    permitRequest.team = teamName(item.team);
    permitRequest.cost = item.estimate;
    permitRequest.deadline = item.deadline;
    emit(m_scheduler->onPermitRequest(m_node, permitRequest, m_now));
}

void policy_run::report()
{
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
        engine &target = m_engines[i];
        m_views[i].reported
            = std::exchange(m_nextReported[i], target.running + target.waiting.size());
        if (!m_scheduler || target.outOfService)
            continue;
        const auto running = static_cast<std::uint32_t>(m_views[i].reported);
        emit(m_scheduler->onLoadReport({engineName(i), target.epoch, false, running, 0}, m_now));
    }
    if (m_now < m_end)
        schedule(m_now + reportInterval, event_kind::Report);
}

void policy_run::setOutage(bool out)
{
    for (std::size_t i = 0; i < m_outage->engines; ++i) {
        m_engines[i].outOfService = out;
        m_engines[i].epoch += out ? 1 : 0;
        m_views[i].inService = !out;
    }
    if (m_scheduler)
        emit(m_scheduler->setSheet(makeSheet(out), m_now));
    for (std::size_t i = 0; out && i < m_jobs.size(); ++i) {
        if (m_jobs[i].engine && m_engines[*m_jobs[i].engine].outOfService)
            leave(i, outcome::Failed);
    }
}

void policy_run::dispatch(std::size_t request, std::size_t engine)
{
    m_jobs[request].engine = engine;
    m_jobs[request].dispatched = m_now;
    ++m_views[engine].inFlight;
    m_engines[engine].waiting.push_back(request);
    admit(m_engines[engine]);
}

void policy_run::admit(engine &target)
{
    while (target.running < target.spec.slots && !target.waiting.empty()) {
        target.prefills.push_back(target.waiting.front());
        target.waiting.pop_front();
        ++target.running;
        if (target.prefills.size() == 1)
            startPrefill(target);
    }
}

void policy_run::startPrefill(engine &target)
{
    if (target.prefills.empty())
        return;
    const std::size_t request = target.prefills.front();
    m_jobs[request].prefillBegin = m_now;
    schedule(
        m_now
            + timeFor(m_requests[request].actual.prefillTokens, target.spec.prefillTokensPerSecond),
        event_kind::PrefillDone, request);
}

void policy_run::leave(std::size_t request, outcome result)
{
    job &current = m_jobs[request];
    engine &target = m_engines[*current.engine];
    --m_views[*current.engine].inFlight;
    current.engine.reset();
    m_results[request].result = result;
    if (std::erase(target.waiting, request) == 0) {
        --target.running;
        const bool computing = !target.prefills.empty() && target.prefills.front() == request;
        std::erase(target.prefills, request);
        if (computing) {
            const std::chrono::duration<double> spent = m_now - current.prefillBegin;
            m_results[request].prefillTokens = spent.count() * target.spec.prefillTokensPerSecond;
            startPrefill(target);
        }
        admit(target);
    }
    if (!m_scheduler)
        return;
    permit_release release;
    release.request = request;
    release.permit = current.permit;
    release.upstream = upstream;
    release.result = dispatch_result::Cancelled;
    if (result == outcome::OnTime)
        release.result = dispatch_result::Completed;
    else if (result == outcome::Failed)
        release.result = dispatch_result::Failed;
    release.actual = m_requests[request].actual;
    if (current.firstToken)
        release.firstToken = *current.firstToken - current.dispatched;
    release.inTime = result == outcome::OnTime;
    emit(m_scheduler->onRelease(m_node, release, m_now));
}

void policy_run::emit(const std::vector<outgoing> &messages)
{
    for (const outgoing &item : messages) {
        if (const auto *poll = std::get_if<lease_poll>(&item.message)) {
            lease_vote vote;
            vote.upstream = upstream;
            vote.sequence = poll->sequence;
            vote.granted = true;
            for (std::size_t i = 0; i < m_jobs.size(); ++i) {
                const job &current = m_jobs[i];
                if (!current.engine)
                    continue;
                const sample_request &request = m_requests[i];
                vote.running.push_back({i, current.permit, engineName(*current.engine),
                                        request.tier, teamName(request.team), request.estimate,
                                        request.deadline, true});
            }
            emit(m_scheduler->onVote(m_node, vote, m_now));
        } else if (const auto *grant = std::get_if<permit_grant>(&item.message)) {
            m_jobs[grant->request].permit = grant->permit;
            const auto name = grant->engine;
            std::size_t index = 0;
            while (engineName(index) != name)
                ++index;
            dispatch(grant->request, index);
        } else if (const auto *refusal = std::get_if<permit_refusal>(&item.message)) {
            m_results[refusal->request].result = outcome::Refused;
        } else if (const auto *order = std::get_if<preempt_order>(&item.message)) {
            if (m_jobs[order->request].engine)
                leave(order->request, outcome::Preempted);
        }
    }
}

void policy_run::schedule(time_point time, event_kind kind, std::size_t request)
{
    m_events.push({time, kind, request});
}

std::shared_ptr<const sheet::sheet> policy_run::makeSheet(bool out) const
{
    sheet::sheet result;
    result.domains[core::domain_name{"braga"}] = {"norte", !out};
    result.domains[core::domain_name{"porto"}] = {"norte", true};
    result.upstreams[upstream] = {};
    for (std::size_t i = 0; i < workload::generationCount; ++i)
        result.generations[generationName(i)] = workload::generationSpec(i);
    for (std::size_t i = 0; i < workload::teamCount; ++i) {
        sheet::team_spec team;
        team.tiers.fill(sheet::team_spec::tier_limit{100'000});
        result.teams[teamName(i)] = team;
    }
    return std::make_shared<const sheet::sheet>(std::move(result));
}
