#include "demo/demonstration.h"

#include "core/invariant.h"
#include "idempotency/request_key.h"
#include "transport/clock.h"
#include "transport/reactor_timer.h"

#include <algorithm>
#include <cstdio>
#include <ostream>
#include <random>
#include <utility>

namespace comfreypass::demo {

namespace {

constexpr core::duration startTimeout = std::chrono::seconds(30);
constexpr core::duration lastResponseTimeout = std::chrono::seconds(40);
constexpr core::duration monitorInterval = std::chrono::milliseconds(20);
/** Engines that leave or whose domain is out of service receive no requests after this time. */
constexpr core::duration closeGracePeriod = std::chrono::milliseconds(3'000);
constexpr core::duration propagationLimit = std::chrono::seconds(4);

} // namespace

demonstration::demonstration(const demo_options &options, demo_sheet document,
                             std::ostream &progress)
    : m_options(options), m_progress(progress),
      m_fleet(m_reactor.get(), options, std::move(document)), m_client(m_reactor.get()),
      m_workload(options.seed)
{ }

core::result<demo_report> demonstration::run()
{
    if (core::result<void> started = startFleet(); !started)
        return started.error();
    transport::reactor_timer monitorTimer(m_reactor.get(), [this] { monitor(); });
    monitorTimer.startRepeating(monitorInterval);
    runFor(startTimeout, [this] { return m_members->hasAddresses(); });

    planSteps();
    generateLoad();
    runFor(lastResponseTimeout, [this] { return m_members->openRequests() == 0; });
    runFor(startTimeout, [this] { return m_drained; });
    checkInvariants();
    return std::move(m_report);
}

core::result<void> demonstration::startFleet()
{
    if (core::result<void> started = m_fleet.start(); !started)
        return started.error();
    std::vector<std::string> addresses;
    for (const auto &node : m_fleet.nodes()) {
        addresses.push_back(node->settings().listen.callers);
        node->onRecord([this](const node::request_record &record) {
            m_prefillTokens += record.prefillTokens;
            m_wastedPrefillTokens += record.wastedPrefillTokens;
            const bool isShed = record.reason == "capacity" || record.reason == "displaced";
            if (!isShed)
                return;
            for (const auto &scheduler : m_fleet.nodes()) {
                const scheduling::pool_scheduler *pool
                    = scheduler->schedulers().find(record.upstream);
                if (!pool || !pool->active())
                    continue;
                const scheduling::pool_snapshot snapshot
                    = pool->snapshot(transport::monotonicNow());
                for (std::size_t lower = record.tier + 1U; lower < core::tierCount; ++lower)
                    m_tierViolations += snapshot.queued.at(lower);
            }
        });
    }
    m_members = std::make_unique<member_client>(
        m_client, std::move(addresses),
        [this](const member_response &response) { m_report.add(response); });

    m_progress << "starting " << m_options.nodes << " nodes and " << m_fleet.engines().size()
               << " upstream instances\n";
    runFor(startTimeout, [this] { return m_fleet.ready(); });
    if (!m_fleet.ready())
        return core::error{core::errc::Unavailable, "", "the nodes did not become ready", ""};
    return boost::outcome_v2::success();
}

void demonstration::planSteps()
{
    const core::domain_name domain = m_fleet.engines().front().info.domain;
    const core::engine_name leaving = m_fleet.engines().at(1).info.name;
    demo_fleet::engine &restarted = lastModelEngine();
    m_steps = {
        {0.15, "restarting engine " + restarted.info.name.text() + ", which is cold afterwards",
         [&restarted] {
             restarted.model->restart();
         }},
        {0.25, "taking failure domain " + domain.text() + " out of service",
         [this, domain] {
             m_fleet.setDomain(domain, false);
             m_sheetChangedAt = transport::monotonicNow();
             for (const demo_fleet::engine &engine : m_fleet.engines()) {
                 if (engine.info.domain == domain)
                     m_closedEngines[engine.info.name]
                         = {m_sheetChangedAt + closeGracePeriod, {}, 0};
             }
         }},
        {0.4, "engine " + leaving.text() + " leaves",
         [this, leaving] {
             m_fleet.setLeaving(leaving);
             m_closedEngines[leaving] = {transport::monotonicNow() + closeGracePeriod, {}, 0};
         }},
        {0.65, "restoring failure domain " + domain.text() + " to service",
         [this, domain, leaving] {
             checkClosedEngines();
             for (auto &[name, engine] : m_closedEngines)
                 m_lateDispatches += std::exchange(engine.lateRequests, 0);
             std::erase_if(m_closedEngines,
                           [&](const auto &entry) { return entry.first != leaving; });
             m_fleet.setDomain(domain, true);
             m_sheetChangedAt = transport::monotonicNow();
         }},
        {0.75, "stopping node " + m_fleet.nodes().back()->identity().name.text() + " gracefully",
         [this] {
             m_fleet.nodes().back()->beginDrain();
         }},
    };
}

demo_fleet::engine &demonstration::lastModelEngine()
{
    const auto found
        = std::find_if(m_fleet.engines().rbegin(), m_fleet.engines().rend(),
                       [](const demo_fleet::engine &engine) { return engine.model != nullptr; });
    COMFREYPASS_INVARIANT(found != m_fleet.engines().rend());
    return *found;
}

void demonstration::generateLoad()
{
    std::mt19937_64 random(m_options.seed);
    std::exponential_distribution<double> interArrivalSeconds(m_options.requestsPerSecond);
    const core::time_point begin = transport::monotonicNow();
    const core::duration loadTime = m_options.load;
    core::duration nextRequest{};
    std::size_t nextStep = 0;

    runFor(loadTime, [&] {
        const core::duration elapsed = transport::monotonicNow() - begin;
        while (nextRequest <= elapsed && elapsed < loadTime) {
            m_members->send(m_workload.next());
            nextRequest += std::chrono::duration_cast<core::duration>(
                std::chrono::duration<double>(interArrivalSeconds(random)));
        }
        if (nextStep < m_steps.size() && elapsed >= loadTime * m_steps[nextStep].loadFraction) {
            m_progress << m_steps[nextStep].announcement << std::endl;
            m_steps[nextStep++].action();
        }
        return false;
    });
}

void demonstration::runFor(core::duration time, const std::function<bool()> &done)
{
    const core::time_point end = transport::monotonicNow() + time;
    // Wakes the reactor so that `done` is evaluated even without other events.
    transport::reactor_timer wakeUp(m_reactor.get(), [] {});
    wakeUp.startRepeating(std::chrono::milliseconds(2));
    m_reactor.runUntil([&] { return done() || transport::monotonicNow() >= end; });
}

void demonstration::monitor()
{
    m_members->tick(transport::monotonicNow());
    monitorSheets();
    checkClosedEngines();
    drainNode();
}

void demonstration::drainNode()
{
    const auto &nodes = m_fleet.nodes();
    if (!nodes.empty() && nodes.back()->draining() && nodes.back()->drained()) {
        m_progress << "node " << nodes.back()->identity().name.text() << " has drained\n";
        m_fleet.removeNode(nodes.size() - 1);
        m_drained = true;
    }
}

void demonstration::monitorSheets()
{
    const std::uint64_t newestRevision = m_fleet.document().revision();
    bool isInForceEverywhere = true;
    for (const auto &node : m_fleet.nodes()) {
        const auto sheet = node->membership().currentSheet();
        const std::uint64_t revision = sheet ? sheet->revision : 0;
        std::uint64_t &lastRevision = m_revisions[node->identity().name];
        if (revision < lastRevision)
            ++m_revisionReversals;
        lastRevision = revision;
        isInForceEverywhere = isInForceEverywhere && revision == newestRevision;
    }
    if (m_sheetChangedAt == core::time_point{})
        return;
    m_maxPropagationTime
        = std::max(m_maxPropagationTime, transport::monotonicNow() - m_sheetChangedAt);
    if (isInForceEverywhere)
        m_sheetChangedAt = core::time_point{};
}

void demonstration::checkClosedEngines()
{
    const core::time_point now = transport::monotonicNow();
    for (const demo_fleet::engine &engine : m_fleet.engines()) {
        const auto found = m_closedEngines.find(engine.info.name);
        if (found == m_closedEngines.end() || now < found->second.closedAt)
            continue;
        if (!found->second.received)
            found->second.received = engine.received();
        found->second.lateRequests = engine.received() - *found->second.received;
    }
}

std::string demonstration::upstreamId(const member_response &response) const
{
    const idempotency::request_key key = idempotency::makeRequestKey(
        core::team_name(response.request.team), "member-1", response.key);
    std::array<char, sizeof(key) * 2 + 1> text{};
    std::snprintf(text.data(), text.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(key.high),
                  static_cast<unsigned long long>(key.low));
    return text.data();
}

void demonstration::checkInvariants()
{
    m_report.setPrefillTokens(m_prefillTokens, m_wastedPrefillTokens);
    checkRequests();
    checkEngines();
    m_report.add({"no request of a higher tier is shed while one of a lower tier waits",
                  m_tierViolations == 0,
                  std::to_string(m_tierViolations) + " lower-tier requests queued at a rejection"});
    const auto propagationMs
        = std::chrono::duration_cast<std::chrono::milliseconds>(m_maxPropagationTime).count();
    m_report.add({"an accepted sheet reaches every node and is never reverted",
                  m_revisionReversals == 0 && m_maxPropagationTime < propagationLimit,
                  "maximum propagation time " + std::to_string(propagationMs) + " ms, "
                      + std::to_string(m_revisionReversals) + " reverted revisions"});
}

void demonstration::checkRequests()
{
    std::map<std::string, std::uint32_t> dispatches;
    for (const demo_fleet::engine &engine : m_fleet.engines()) {
        const auto &ids = engine.model ? engine.model->counters().requestIds
                                       : engine.service->counters().requestIds;
        for (const auto &[id, count] : ids)
            dispatches[id] += count;
    }
    std::uint64_t duplicates = 0;
    std::uint64_t falseNotRun = 0;
    std::uint64_t notRun = 0;
    std::uint64_t completed = 0;
    std::uint64_t incorrect = 0;
    std::uint64_t brokenConnections = 0;
    for (const member_response &response : m_report.responses()) {
        const auto found = dispatches.find(upstreamId(response));
        const std::uint32_t count = found == dispatches.end() ? 0 : found->second;
        duplicates += count > 1 ? 1 : 0;
        if (response.result == member_response::outcome::NotRun) {
            ++notRun;
            falseNotRun += count > 0 ? 1 : 0;
        }
        if (response.result == member_response::outcome::Completed) {
            ++completed;
            incorrect += response.isCorrect ? 0 : 1;
        }
        brokenConnections += response.brokenConnections;
    }
    m_report.add({"a request is dispatched at most once", duplicates == 0,
                  std::to_string(dispatches.size()) + " request ids at upstreams, "
                      + std::to_string(duplicates) + " duplicates"});
    m_report.add(
        {"a request rejected as not_run was not dispatched", falseNotRun == 0,
         std::to_string(notRun) + " rejections, " + std::to_string(falseNotRun) + " false"});
    m_report.add(
        {"a caller receives the complete response to its own request", incorrect == 0,
         std::to_string(completed) + " responses, " + std::to_string(incorrect) + " incorrect"});
    m_report.add({"a graceful shutdown interrupts no request", brokenConnections == 0 && m_drained,
                  std::to_string(brokenConnections) + " broken connections, node "
                      + (m_drained ? "drained" : "not drained")});
}

void demonstration::checkEngines()
{
    std::uint64_t collapses = 0;
    std::uint64_t duplicateBookings = 0;
    std::uint64_t bookings = 0;
    for (const demo_fleet::engine &engine : m_fleet.engines()) {
        if (engine.model) {
            collapses += engine.model->counters().collapses;
            continue;
        }
        for (const auto &[key, runs] : engine.service->counters().bookingRuns) {
            ++bookings;
            duplicateBookings += runs > 1 ? 1 : 0;
        }
    }
    checkClosedEngines();
    for (const auto &[name, engine] : m_closedEngines)
        m_lateDispatches += engine.lateRequests;
    m_report.add({"an engine in cold start is not overloaded", collapses == 0,
                  std::to_string(collapses) + " collapses"});
    m_report.add({"no new requests to a domain out of service or a leaving engine",
                  m_lateDispatches == 0, std::to_string(m_lateDispatches) + " late dispatches"});
    m_report.add({"a booking runs at most once", duplicateBookings == 0,
                  std::to_string(bookings) + " bookings, " + std::to_string(duplicateBookings)
                      + " duplicates"});
}

} // namespace comfreypass::demo
