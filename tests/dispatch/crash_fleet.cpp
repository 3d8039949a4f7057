#include "dispatch/crash_fleet.h"

#include <algorithm>
#include <utility>

namespace comfreypass::dispatch {

namespace {

using namespace std::chrono_literals;

constexpr core::duration step = 5ms;
constexpr core::duration timeToFirstEvent = 60ms;
constexpr core::duration serviceTime = 300ms;
constexpr core::duration restartTime = 3s;
/** Network latency, and the time for which a node collects news. */
constexpr core::duration messageDelay = 10ms;
/** Time after which a node probes an engine that broke off a response. */
constexpr core::duration probeDelay = 120ms;
constexpr double lossProbability = 0.02;
/** Losses are made up for by repeated reports. */
constexpr core::duration repeatDelay = 150ms;

constexpr request_feature firstSegment{feature_kind::Segment, 1};
constexpr request_feature deadlySegment{feature_kind::Segment, 2};
constexpr request_feature deadlyRequest{feature_kind::Request, 3};

constexpr std::size_t crashesOfKnownRequest = 3;
constexpr std::size_t crashesOfKnownSegment = 5;

/** Similar seeds would make the generator start with similar numbers. */
std::uint32_t spreadSeed(std::uint32_t seed)
{
    return seed * 2'654'435'761U;
}

} // namespace

crash_fleet::crash_fleet(const crash_load &load, std::uint32_t seed)
    : m_load(load), m_random(spreadSeed(seed)), m_engines(load.engines)
{
    for (std::size_t i = 0; i < load.nodes; ++i) {
        m_nodes.emplace_back(static_cast<std::uint32_t>(m_random()));
        m_nodes.back().setNodeCount(load.nodes);
    }
}

crash_fleet_result crash_fleet::run()
{
    const core::time_point end = m_now + m_load.length;
    const double stepSeconds = std::chrono::duration<double>(step).count();
    const auto count = [&](double perSecond) {
        return std::poisson_distribution<int>(perSecond * stepSeconds)(m_random);
    };
    for (; m_now < end; m_now += step) {
        deliver();
        progress();
        probe();
        const std::vector<std::pair<load_kind, double>> loads = {
            {load_kind::Sound, m_load.soundPerSecond},
            {load_kind::DeadlyRequest, m_load.deadlyRequestsPerMinute / 60},
            {load_kind::DeadlySegment, m_load.deadlySegmentsPerMinute / 60},
            {load_kind::OwnCrash, m_load.ownCrashesPerMinute / 60},
        };
        for (const auto &[kind, rate] : loads) {
            for (int i = rate > 0 ? count(rate) : 0; i > 0; --i)
                arrive(kind);
        }
        sendNews();
    }
    return m_result;
}

std::vector<request_feature> crash_fleet::soundFeatures()
{
    return {firstSegment,
            {feature_kind::Segment, 100 + m_random() % m_load.subjects},
            {feature_kind::Request, ++m_lastDigest}};
}

void crash_fleet::arrive(load_kind kind)
{
    if (kind == load_kind::OwnCrash) {
        crashEngine(m_random() % m_engines.size());
        return;
    }
    running_request request{.node = m_random() % m_nodes.size(), .kind = kind};
    request.features = soundFeatures();
    if (kind == load_kind::DeadlyRequest)
        request.features.back() = deadlyRequest;
    if (kind == load_kind::DeadlySegment && m_load.deadlyPosition)
        request.features.insert(request.features.begin()
                                    + static_cast<std::ptrdiff_t>(*m_load.deadlyPosition),
                                deadlySegment);
    else if (kind == load_kind::DeadlySegment)
        request.features[1] = deadlySegment;
    if (kind == load_kind::DeadlyRequest)
        request.features[1] = {feature_kind::Segment, 100};
    m_result.sound += kind == load_kind::Sound ? 1 : 0;
    start(std::move(request));
}

std::optional<std::size_t> crash_fleet::chooseEngine()
{
    const std::size_t first = m_random() % m_engines.size();
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
        const std::size_t candidate = (first + i) % m_engines.size();
        if (m_engines[candidate].downUntil <= m_now)
            return candidate;
        reportDown(candidate);
    }
    return std::nullopt;
}

void crash_fleet::start(running_request request)
{
    request_quarantine &node = m_nodes[request.node];
    // A node checks again after each refused connection, which may have completed the evidence.
    const std::optional<std::size_t> target = chooseEngine();
    if (node.find(request.features, m_now)) {
        m_result.soundRefused += request.kind == load_kind::Sound && !request.isRepeat ? 1 : 0;
        return;
    }
    if (!target)
        return;
    if (request.kind == load_kind::DeadlyRequest) {
        m_result.lateRequests += m_now > m_request.knownBy ? 1 : 0;
        if (m_request.crashes > 0)
            m_result.requestReached = m_now - m_request.firstCrash;
    } else if (request.kind == load_kind::DeadlySegment) {
        m_result.lateSegments += m_now > m_segment.knownBy ? 1 : 0;
        if (m_segment.crashes > 0)
            m_result.segmentReached = m_now - m_segment.firstCrash;
    }
    node.onAttempt(request.features, m_now);
    request.startedAt = m_now;
    m_engines[*target].running.push_back(std::move(request));
}

void crash_fleet::crashEngine(std::size_t engine)
{
    simulated_engine &target = m_engines[engine];
    if (target.downUntil > m_now)
        return;
    target.downUntil = m_now + restartTime;
    std::vector<running_request> broken = std::exchange(target.running, {});
    for (running_request &each : broken) {
        request_quarantine &node = m_nodes[each.node];
        if (each.answered)
            continue;
        if (!node.onBroken(static_cast<engine_key>(engine), each.features, m_engines.size() == 1,
                           m_now))
            m_probes.push_back({m_now + probeDelay, each.node, engine});
    }
    for (running_request &each : broken) {
        if (std::exchange(each.isRepeat, true))
            continue;
        each.answered = false;
        start(std::move(each));
    }
}

void crash_fleet::probe()
{
    const std::vector<engine_probe> due = std::exchange(m_probes, {});
    for (const engine_probe &each : due) {
        if (each.at > m_now)
            m_probes.push_back(each);
        else if (m_engines[each.engine].downUntil > m_now)
            reportDown(each.engine);
    }
}

// A node that finds an engine down tells all others, well within the time in which it counts.
void crash_fleet::reportDown(std::size_t engine)
{
    for (request_quarantine &node : m_nodes)
        node.onEngineDown(static_cast<engine_key>(engine), m_now);
}

void crash_fleet::progress()
{
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
        bool crashes = false;
        for (running_request &each : m_engines[i].running) {
            if (each.answered || m_now - each.startedAt < timeToFirstEvent)
                continue;
            if (each.kind == load_kind::Sound) {
                each.answered = true;
                m_nodes[each.node].onAnswered(each.features, m_now);
                continue;
            }
            crashes = true;
            const bool isRequest = each.kind == load_kind::DeadlyRequest;
            deadly_state &state = isRequest ? m_request : m_segment;
            if (state.crashes++ == 0)
                state.firstCrash = m_now;
            if (state.crashes == (isRequest ? crashesOfKnownRequest : crashesOfKnownSegment))
                state.knownBy = m_now + lateAfter;
            break;
        }
        if (crashes) {
            ++m_result.enginesEnded;
            crashEngine(i);
        }
        std::erase_if(m_engines[i].running, [&](const running_request &each) {
            return each.answered && m_now - each.startedAt >= serviceTime;
        });
    }
}

void crash_fleet::sendNews()
{
    for (std::size_t from = 0; from < m_nodes.size(); ++from) {
        if (!m_nodes[from].hasNews())
            continue;
        const auto news = std::make_shared<const quarantine_report>(m_nodes[from].takeNews());
        for (std::size_t to = 0; to < m_nodes.size(); ++to) {
            const bool isLost = std::bernoulli_distribution(lossProbability)(m_random);
            if (to != from)
                m_messages.push({m_now + (isLost ? repeatDelay : messageDelay), to, news});
        }
    }
}

void crash_fleet::deliver()
{
    while (!m_messages.empty() && m_messages.top().arrivesAt <= m_now) {
        const message next = m_messages.top();
        m_messages.pop();
        m_nodes[next.to].onPeerReport(*next.report, m_now);
    }
}

} // namespace comfreypass::dispatch
