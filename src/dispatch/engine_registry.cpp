#include "dispatch/engine_registry.h"

#include "core/hash.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>
#include <limits>
#include <utility>

namespace comfreypass::dispatch {

namespace {

using namespace std::chrono_literals;

/**
 * Upper bound on the delay with which the engine list shows that an engine became cold: a heartbeat
 * interval plus the delay of the list.
 */
constexpr core::duration maxListDelay = 2s;

/** Duration of the first ejection; doubles with each consecutive one. */
constexpr core::duration initialEjection = 250ms;
constexpr core::duration maxEjection = 4s;
constexpr double minEjectionFraction = 0.7;

/**
 * Consecutive failures after which an engine is degraded. An engine that fails immediately always
 * has free capacity and would attract most requests of a busy fleet. An engine that fails one
 * request in four reaches three consecutive failures in one of 64 runs of three.
 */
constexpr std::uint32_t failuresBeforeDegraded = 3;

/** An engine that served this node within this time is not degraded by reports of peers. */
constexpr core::duration recentServiceWindow = 1s;

/** Half-life of a failure in the failure cost of an engine. */
constexpr double failureHalfLifeSeconds = 3;

/** Cost of one recent failure, relative to the load of a full engine. */
constexpr double failureCost = 0.4;

/**
 * Additional requests that an engine of this failure domain may run compared to one in another
 * domain. Traffic between domains is expensive, but an overloaded engine increases latency.
 */
constexpr double crossDomainRequests = 1;

/** Larger than any event interval of an engine. */
constexpr double unknownEventIntervalSeconds = 1e6;

/** Time to the first event of a small prompt, in event intervals. */
constexpr double eventsBeforeFirst = 2;

/** Engines whose fixed costs differ by at most this much are compared by load. */
constexpr double similarCost = 0.3;

/**
 * Output length estimates are often off by a factor of two, so a response that is expected to take
 * more than this fraction of its time may miss its deadline.
 */
constexpr double safeTimeFraction = 0.4;
constexpr double overrunCost = 4;

/** Smaller prompts do not show the prefill rate, as they mostly wait for the next engine step. */
constexpr double minPromptTokensForPrefill = 3'000;

/**
 * Smaller prompts of coordinated upstreams are read before the peers could act on a report, and
 * the engine step that they wait for takes as long as reading them.
 */
constexpr double minReportedPromptTokens = 1'000;

/** Range of the random cost that keeps nodes with equal views from selecting the same engine. */
constexpr double tieBreakCost = 0.04;

/**
 * An engine that runs requests of this node and sends nothing for this time may have crashed or
 * hung. A healthy engine sends an event of each stream every few steps and prefills prompts in
 * short chunks.
 */
constexpr core::duration stallTimeout = 700ms;

/** Number of own measurements from which on latencies reported by peers are ignored. */
constexpr std::uint32_t minOwnEventIntervals = 30;

/** Weight of a new observation in the smoothed latencies. */
constexpr double latencyWeight = 0.1;

/**
 * Fraction of a cold engine's rate that the nodes use. In any second a node may send one request
 * more than its share, so the sum over the nodes stays within the engine's rate plus one per node.
 */
constexpr double coldRateFraction = 0.75;

/** Engines without an entry whose statements are kept; the oldest one is dropped first. */
constexpr std::size_t maxKeptStatements = 1'024;

/** Longest pause of an engine; longer ones are likely to be an error of the engine. */
constexpr core::duration maxPause = 5min;

/** After a pause, the usable slots of an engine grow from one to all in this time. */
constexpr core::duration pauseRecovery = 300ms;

/** Two random choices avoid most of the load imbalance of a single one. */
constexpr std::size_t minSampleSize = 2;

double seconds(core::duration time)
{
    return std::chrono::duration<double>(time).count();
}

fit_request fitRequest(const selection_request &request, double tokensPerEvent)
{
    return {.promptTokens = request.promptTokens,
            .outputEvents = request.outputTokens / tokensPerEvent,
            .objective = request.objective,
            .objectiveLeft = request.objectiveLeft,
            .timeLeft = request.timeLeft};
}

} // namespace

engine_registry::engine_registry(std::string domain, std::uint32_t seed)
    : m_domain(std::move(domain)), m_random(seed)
{ }

engine_key engine_registry::keyOf(std::string_view id) noexcept
{
    return static_cast<engine_key>(core::hash64(id));
}

void engine_registry::update(const engine_entry &entry, const upstream_settings *settings,
                             core::time_point now)
{
    const auto [position, isNew] = m_engines.try_emplace(entry.id);
    engine &target = position->second;
    const bool restarted = !isNew && target.entry.startedAt != entry.startedAt;
    if (!isNew && target.entry.upstream != entry.upstream)
        std::erase(m_byUpstream[target.entry.upstream], &target);
    if (isNew || target.entry.upstream != entry.upstream) {
        m_byUpstream[entry.upstream].push_back(&target);
        target.preference = m_subsetted.contains(entry.upstream) ? affinity::Other : affinity::None;
        ++m_membershipVersion;
    }
    target.entry = entry;
    target.key = keyOf(entry.id);
    m_idByKey[target.key] = entry.id;
    if (isNew) {
        const auto known = m_peersRunning.find(target.key);
        target.peersRunning = known == m_peersRunning.end() ? 0 : known->second;
        const auto unlisted = m_unlistedRunning.extract(entry.id);
        if (!unlisted.empty()) {
            target.running = unlisted.mapped();
            target.lastActivityAt = now;
            recordLoadChange(target.key);
        }
        restoreStatement(target);
    }
    // An entry that is older than the process must not make it usable again.
    if (entry.startedAt > target.statement.startedAt)
        target.statement = {};
    if (settings != nullptr) {
        target.coldRate = settings->coldRequestsPerSecond;
        target.coldTime = settings->coldTime;
        target.tokensPerEvent = std::max(1.0, settings->tokensPerEvent);
    }
    if (restarted) {
        target.recentFailures = 0;
        target.ejectedUntil = {};
        target.degradedUntil = {};
        target.consecutiveEjections = 0;
        target.consecutiveFailures = 0;
    }
    if (entry.coldRemaining > core::duration::zero())
        makeCold(target, now + entry.coldRemaining);
}

void engine_registry::remove(std::string_view id)
{
    const auto found = m_engines.find(std::string(id));
    if (found == m_engines.end())
        return;
    const engine_statement &statement = found->second.statement;
    if (statement.startedAt > 0)
        keptStatement(found->first) = statement;
    std::erase(m_byUpstream[found->second.entry.upstream], &found->second);
    m_idByKey.erase(found->second.key);
    if (found->second.running > 0)
        m_unlistedRunning[found->first] = found->second.running;
    m_engines.erase(found);
    ++m_membershipVersion;
}

void engine_registry::setEvacuated(std::string_view domain, bool evacuated, core::time_point now)
{
    if (evacuated) {
        m_evacuated.emplace(domain);
        return;
    }
    const auto found = m_evacuated.find(domain);
    if (found == m_evacuated.end())
        return;
    m_evacuated.erase(found);
    // Engines of an evacuated domain may have become cold; the engine list shows that with a delay.
    for (auto &[id, each] : m_engines) {
        if (each.entry.domain == domain && each.coldRate > 0)
            makeCold(each, now + maxListDelay);
    }
}

void engine_registry::updateSettings(std::string_view upstream, const upstream_settings &settings)
{
    for (engine *each : enginesOf(upstream)) {
        each->coldRate = settings.coldRequestsPerSecond;
        each->coldTime = settings.coldTime;
        each->tokensPerEvent = std::max(1.0, settings.tokensPerEvent);
    }
}

void engine_registry::setPeerLoads(std::uint32_t peer, std::span<const engine_load> loads)
{
    const std::vector<engine_load> before
        = std::exchange(m_peerLoads[peer], std::vector<engine_load>(loads.begin(), loads.end()));
    if (loads.empty())
        m_peerLoads.erase(peer);
    // A peer uses few of the engines, and a large fleet sends hundreds of reports per second.
    for (const engine_load &each : loads)
        addPeersRunning(each.engine, each.running);
    for (const engine_load &each : before)
        subtractPeersRunning(each.engine, each.running);
    m_backlog.setPeerLoads(peer, loads);
}

void engine_registry::addPeersRunning(engine_key key, std::uint32_t count)
{
    const std::uint32_t running = m_peersRunning[key] += count;
    if (engine *target = engineOfKey(key))
        target->peersRunning = running;
}

void engine_registry::subtractPeersRunning(engine_key key, std::uint32_t count)
{
    const auto found = m_peersRunning.find(key);
    if (found == m_peersRunning.end())
        return;
    const std::uint32_t running = found->second -= count;
    if (running == 0)
        m_peersRunning.erase(found);
    if (engine *target = engineOfKey(key))
        target->peersRunning = running;
}

void engine_registry::setPeerLoad(std::uint32_t peer, const engine_load &load)
{
    std::vector<engine_load> &loads = m_peerLoads[peer];
    auto known = std::ranges::find(loads, load.engine, &engine_load::engine);
    if (known == loads.end())
        known = loads.insert(loads.end(), {load.engine, 0});
    const std::uint32_t before = std::exchange(known->running, load.running);
    if (load.running == 0)
        loads.erase(known);
    addPeersRunning(load.engine, load.running);
    subtractPeersRunning(load.engine, before);
    m_backlog.setPeerLoad(peer, load);
}

void engine_registry::onPeerEjected(engine_key key, core::time_point now)
{
    engine *target = engineOfKey(key);
    // Only the peer may have lost the connection to the engine.
    if (target == nullptr || now - target->lastServedAt < recentServiceWindow)
        return;
    target->degradedUntil
        = std::max(target->degradedUntil, now + nextEjectionDuration(*target, now));
}

// Ejections that several nodes report for one outage count once.
core::duration engine_registry::nextEjectionDuration(engine &target, core::time_point now)
{
    if (target.consecutiveEjections == 0 || now - target.lastEjectedAt > initialEjection / 2)
        ++target.consecutiveEjections;
    target.lastEjectedAt = now;
    const std::uint32_t doublings = std::min<std::uint32_t>(target.consecutiveEjections - 1, 4);
    const core::duration ejection
        = std::min<core::duration>(initialEjection * (1U << doublings), maxEjection);
    // The first node to probe the engine reports the result, so the nodes should not probe at once.
    const double fraction
        = std::uniform_real_distribution<double>(minEjectionFraction, 1)(m_random);
    return std::chrono::duration_cast<core::duration>(ejection * fraction);
}

// If most engines of an upstream fail, the requests or a dependency of the engines may be the
// cause, and the remaining engines could not handle the load.
void engine_registry::eraseDegraded(std::vector<engine *> &candidates, core::time_point now)
{
    const auto degraded = [now](const engine *each) {
        return each->degradedUntil > now;
    };
    const auto count = static_cast<std::size_t>(std::ranges::count_if(candidates, degraded));
    if (count * 2 <= candidates.size())
        std::erase_if(candidates, degraded);
}

void engine_registry::setPreferred(std::string_view upstream, std::span<const engine_key> preferred,
                                   bool subsetted)
{
    if (subsetted)
        m_subsetted.emplace(upstream);
    else if (const auto found = m_subsetted.find(upstream); found != m_subsetted.end())
        m_subsetted.erase(found);
    for (engine *each : enginesOf(upstream)) {
        const bool own = std::ranges::find(preferred, each->key) != preferred.end();
        each->preference = !subsetted ? affinity::None
                           : own      ? affinity::Preferred
                                      : affinity::Other;
    }
}

std::vector<engine_load> engine_registry::takeLoadChanges()
{
    std::vector<engine_load> loads;
    for (const engine_key key : std::exchange(m_changedLoads, {})) {
        const engine *target = engineOfKey(key);
        loads.push_back({key, target == nullptr ? 0 : target->running, m_backlog.ownTokens(key)});
    }
    return loads;
}

std::vector<engine_key> engine_registry::takeEjected()
{
    return std::exchange(m_newlyEjected, {});
}

void engine_registry::recordLoadChange(engine_key key)
{
    if (std::ranges::find(m_changedLoads, key) == m_changedLoads.end())
        m_changedLoads.push_back(key);
}

engine_selection engine_registry::choose(const selection_request &request, const fleet_share &share,
                                         core::time_point now)
{
    std::vector<engine *> candidates = enginesOf(request.upstream);
    std::erase_if(candidates, [&](const engine *each) {
        return !isUsable(*each, now)
               || std::ranges::find(request.excluded, each->entry.id) != request.excluded.end();
    });
    if (candidates.empty())
        return {};
    // After a pause of this process all engines look stalled, so the check is skipped.
    const auto stalled = [now](const engine *each) {
        return isStalled(*each, now);
    };
    if (request.responsiveOnly || !std::ranges::all_of(candidates, stalled))
        std::erase_if(candidates, stalled);
    eraseDegraded(candidates, now);
    const double unreported = request.unreportedStarts / static_cast<double>(candidates.size());
    double fastest = unknownEventIntervalSeconds;
    for (const engine *each : candidates) {
        if (each->eventIntervalSeconds > 0)
            fastest = std::min(fastest, each->eventIntervalSeconds);
    }
    const std::vector<engine *> usable = request.coordinated ? candidates : std::vector<engine *>();
    std::erase_if(candidates, [&](const engine *each) {
        return !hasFreeCapacity(*each, request, unreported, now)
               || !allowsColdRequest(*each, share, now)
               || (request.freshLoadOnly && each->preference == affinity::Other);
    });
    if (request.coordinated && shouldWaitForFasterEngine(usable, candidates, request, fastest, now))
        return {.outcome = selection_outcome::NoCapacity, .waitsForFasterEngine = true};
    std::vector<candidate> eligible;
    eligible.reserve(candidates.size());
    for (engine *each : candidates)
        eligible.push_back({each, request.coordinated
                                      ? coordinatedCost(*each, request, fastest, now)
                                      : fixedCost(*each, request, fastest, now)});
    keepLowestFixedCost(eligible);
    const auto isPreferred = [](const candidate &each) {
        return each.target->preference == affinity::Preferred;
    };
    if (std::ranges::any_of(eligible, isPreferred))
        std::erase_if(eligible, std::not_fn(isPreferred));
    else if (!eligible.empty() && eligible.front().target->preference == affinity::Other)
        keepOneByFreeSlots(eligible);
    else
        keepSample(eligible, unreported);
    engine *best = nullptr;
    double lowestCost = std::numeric_limits<double>::max();
    for (const candidate &each : eligible) {
        const double peers = request.peerRequestsPerSlot
                                 ? *request.peerRequestsPerSlot * each.target->entry.slots
                                 : each.target->peersRunning;
        const double cost = each.fixedCost + loadCost(*each.target, peers);
        if (cost < lowestCost) {
            lowestCost = cost;
            best = each.target;
        }
    }
    if (best == nullptr)
        return {.outcome = selection_outcome::NoCapacity};
    const bool cold = best->coldUntil > now;
    if (cold)
        reserveColdRequest(*best, share, now);
    return {.outcome = selection_outcome::Selected,
            .engine = &best->entry,
            .ownRunning = best->running,
            .peersRunning = best->peersRunning,
            .cold = cold};
}

void engine_registry::onStart(std::string_view id, core::time_point now)
{
    engine *target = findEngine(id);
    if (target == nullptr)
        return;
    if (target->running++ == 0)
        target->lastActivityAt = now;
    recordLoadChange(target->key);
}

void engine_registry::onPromptStart(std::string_view id, const pending_prompt &prompt)
{
    engine *target = findEngine(id);
    if (target == nullptr || prompt.tokens <= 0)
        return;
    m_backlog.expire(target->key, prompt.startedAt);
    const engine_speed speed = speedOf(*target, target->eventIntervalSeconds);
    pending_prompt added = prompt;
    added.predicted = std::chrono::duration_cast<core::duration>(std::chrono::duration<double>(
        fitOf({.promptTokens = prompt.tokens}, speed, m_backlog, target->key, prompt.startedAt)
            .firstEventSeconds));
    m_backlog.add(target->key, added, speed.prefillSecondsPerToken);
}

std::optional<core::duration>
engine_registry::onPromptRead(std::string_view id, core::request_id request, core::time_point now)
{
    const std::optional<pending_prompt> prompt = m_backlog.remove(keyOf(id), request);
    engine *target = findEngine(id);
    if (!prompt || target == nullptr)
        return std::nullopt;
    // Peers act on a prompt that is read only if that frees much of the engine.
    if (prompt->tokens >= minReportedPromptTokens)
        recordLoadChange(target->key);
    const core::duration time = now - prompt->startedAt;
    const double reading = seconds(time) - eventsBeforeFirst * target->eventIntervalSeconds;
    if (reading > 0 && prompt->tokens >= minReportedPromptTokens)
        learnPrefill(*target, reading / (prompt->tokens + prompt->sharedTokens),
                     std::min(1.0, prompt->tokens / minPromptTokensForPrefill));
    return time - prompt->predicted;
}

void engine_registry::onPromptEnd(std::string_view id, core::request_id request)
{
    m_backlog.remove(keyOf(id), request);
}

void engine_registry::onBytes(std::string_view id, core::time_point now)
{
    engine *target = findEngine(id);
    if (target == nullptr)
        return;
    target->lastActivityAt = now;
    target->lastBytesAt = now;
}

bool engine_registry::hasSentSince(std::string_view id, core::time_point since) const
{
    const auto found = m_engines.find(std::string(id));
    return found != m_engines.end() && found->second.lastBytesAt > since;
}

void engine_registry::onEnd(std::string_view id, attempt_result result, core::time_point now)
{
    engine *target = findEngine(id);
    if (target == nullptr) {
        const auto unlisted = m_unlistedRunning.find(std::string(id));
        if (unlisted != m_unlistedRunning.end() && --unlisted->second == 0)
            m_unlistedRunning.erase(unlisted);
        return;
    }
    if (target->running > 0)
        --target->running;
    recordLoadChange(target->key);
    switch (result) {
    case attempt_result::Served:
        target->consecutiveEjections = 0;
        target->consecutiveFailures = 0;
        target->degradedUntil = {};
        target->lastServedAt = now;
        target->recentFailures = decayedFailures(*target, now) * 0.7;
        target->recentFailuresAt = now;
        break;
    case attempt_result::Failed:
        target->recentFailures = decayedFailures(*target, now) + 1;
        target->recentFailuresAt = now;
        if (++target->consecutiveFailures < failuresBeforeDegraded)
            break;
        target->degradedUntil = now + nextEjectionDuration(*target, now);
        m_newlyEjected.push_back(target->key);
        break;
    case attempt_result::Rejected:
        // The engine is fuller than the reported loads show; it gets time to finish requests.
        target->ejectedUntil = std::max(target->ejectedUntil, now + 100ms);
        break;
    case attempt_result::Misdirected:
        target->ejectedUntil = now + maxEjection;
        break;
    case attempt_result::Unreachable:
        eject(*target, now);
        break;
    case attempt_result::Neutral:
        break;
    }
}

void engine_registry::onUnreachable(std::string_view id, core::time_point now)
{
    if (engine *target = findEngine(id))
        eject(*target, now);
}

void engine_registry::eject(engine &target, core::time_point now)
{
    const core::duration ejection = nextEjectionDuration(target, now);
    target.ejectedUntil = now + ejection;
    m_newlyEjected.push_back(target.key);
    // The engine may restart, and a new process is cold before its entry says so.
    if (target.coldRate > 0)
        makeCold(target, now + ejection + target.coldTime);
}

bool engine_registry::onLeaving(const engine_entry &sender, core::time_point now)
{
    engine_statement *statement = statementOf(sender);
    if (statement == nullptr)
        return false;
    statement->statedAt = now;
    return !std::exchange(statement->isLeaving, true);
}

core::duration engine_registry::onPauseRequested(const engine_entry &sender, core::duration pause,
                                                 core::time_point now)
{
    engine_statement *statement = statementOf(sender);
    if (statement == nullptr || pause <= core::duration::zero())
        return {};
    const core::duration bounded = std::min(pause, maxPause);
    const core::duration known = statement->pausedUntil - now;
    statement->statedAt = now;
    statement->pausedUntil = std::max(statement->pausedUntil, now + bounded);
    // Requests that were on their way when the pause began are rejected with the same pause.
    return known < bounded / 2 ? bounded : core::duration::zero();
}

bool engine_registry::onInvalidPause(const engine_entry &sender, core::time_point now)
{
    engine_statement *statement = statementOf(sender);
    if (statement == nullptr)
        return false;
    statement->statedAt = now;
    return !std::exchange(statement->hasInvalidPause, true);
}

std::size_t engine_registry::pausedCount(core::time_point now) const noexcept
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_engines, [now](const auto &each) { return each.second.statement.pausedUntil > now; }));
}

std::size_t engine_registry::leavingCount() const noexcept
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_engines, [](const auto &each) { return each.second.statement.isLeaving; }));
}

std::size_t engine_registry::engineCount(std::string_view upstream) const
{
    return enginesOf(upstream).size();
}

bool engine_registry::areAllLeaving(std::string_view upstream) const
{
    const std::vector<engine *> &engines = enginesOf(upstream);
    return !engines.empty() && std::ranges::all_of(engines, [](const engine *each) {
        return each->statement.isLeaving;
    });
}

std::optional<upstream_pause> engine_registry::pauseOf(std::string_view upstream,
                                                       core::time_point now) const
{
    upstream_pause pause{.endsAt = core::time_point::max()};
    bool hasPaused = false;
    for (const engine *each : enginesOf(upstream)) {
        if (isExcluded(*each))
            continue;
        if (isUsable(*each, now))
            return std::nullopt;
        hasPaused = hasPaused || each->statement.pausedUntil > now;
        pause.endsAt
            = std::min(pause.endsAt, std::max(each->statement.pausedUntil, each->ejectedUntil));
        pause.slots += each->entry.slots;
    }
    return hasPaused ? std::optional(pause) : std::nullopt;
}

std::uint32_t engine_registry::recoveringSlots(std::string_view upstream,
                                               core::time_point now) const
{
    std::uint32_t total = 0;
    for (const engine *each : enginesOf(upstream)) {
        const core::duration since = now - each->statement.pausedUntil;
        if (since > 2 * pauseRecovery || !isUsable(*each, now))
            continue;
        const std::uint32_t slots = usableSlots(*each, now);
        total += slots - std::min(slots, each->running + each->peersRunning);
    }
    return total;
}

engine_statement *engine_registry::statementOf(const engine_entry &sender)
{
    engine *target = findEngine(sender.id);
    // Without a start time, a new process under the same id could not be told from the old one.
    if (target == nullptr && sender.startedAt == 0)
        return nullptr;
    if (target != nullptr && target->entry.startedAt > sender.startedAt)
        return nullptr;
    engine_statement &statement = target == nullptr ? keptStatement(sender.id) : target->statement;
    if (statement.startedAt > sender.startedAt)
        return nullptr;
    if (statement.startedAt < sender.startedAt)
        statement = {.startedAt = sender.startedAt};
    return &statement;
}

engine_statement &engine_registry::keptStatement(const std::string &id)
{
    if (m_keptStatements.size() >= maxKeptStatements && !m_keptStatements.contains(id))
        m_keptStatements.erase(std::ranges::min_element(
            m_keptStatements, {}, [](const auto &each) { return each.second.statedAt; }));
    return m_keptStatements[id];
}

void engine_registry::restoreStatement(engine &target)
{
    const auto kept = m_keptStatements.find(target.entry.id);
    if (kept == m_keptStatements.end())
        return;
    target.statement = kept->second;
    m_keptStatements.erase(kept);
}

void engine_registry::onEventInterval(std::string_view id, core::duration time)
{
    engine *target = findEngine(id);
    if (target == nullptr)
        return;
    const double value = seconds(time);
    // A latency reported by a peer is the initial value and does not count as a measurement.
    target->eventIntervalSeconds
        = target->eventIntervalSeconds > 0
              ? target->eventIntervalSeconds
                    + latencyWeight * (value - target->eventIntervalSeconds)
              : value;
    ++target->eventIntervalCount;
    if (std::ranges::find(m_newLatencies, target->entry.id) == m_newLatencies.end())
        m_newLatencies.push_back(target->entry.id);
}

void engine_registry::onPeerLatencies(std::span<const engine_latency> latencies)
{
    for (const engine_latency &each : latencies) {
        engine *target = engineOfKey(each.engine);
        if (target == nullptr || target->eventIntervalCount >= minOwnEventIntervals
            || each.eventIntervalSeconds <= 0)
            continue;
        target->eventIntervalSeconds = each.eventIntervalSeconds;
        if (each.prefillSecondsPerToken <= 0)
            continue;
        target->prefillSecondsPerToken = each.prefillSecondsPerToken;
        m_minPrefillSecondsPerToken
            = m_minPrefillSecondsPerToken > 0
                  ? std::min(m_minPrefillSecondsPerToken, each.prefillSecondsPerToken)
                  : each.prefillSecondsPerToken;
    }
}

std::vector<engine_latency> engine_registry::takeNewLatencies(std::size_t maxCount)
{
    std::vector<engine_latency> latencies;
    while (!m_newLatencies.empty() && latencies.size() < maxCount) {
        if (const engine *each = findEngine(m_newLatencies.back()))
            latencies.push_back(
                {each->key, each->eventIntervalSeconds, each->prefillSecondsPerToken});
        m_newLatencies.pop_back();
    }
    return latencies;
}

bool engine_registry::isUsable(std::string_view id, core::time_point now) const
{
    const auto found = m_engines.find(std::string(id));
    return found != m_engines.end() && isUsable(found->second, now);
}

void engine_registry::onFirstEvent(std::string_view id, double promptTokens, core::duration time)
{
    engine *target = findEngine(id);
    if (target == nullptr || promptTokens < minPromptTokensForPrefill)
        return;
    learnPrefill(*target, seconds(time) / promptTokens, 1);
}

void engine_registry::learnPrefill(engine &target, double secondsPerToken, double weight)
{
    double &learned = target.prefillSecondsPerToken;
    learned = learned > 0 ? learned + weight * latencyWeight * (secondsPerToken - learned)
                          : secondsPerToken;
    m_minPrefillSecondsPerToken = m_minPrefillSecondsPerToken > 0
                                      ? std::min(m_minPrefillSecondsPerToken, learned)
                                      : learned;
}

std::vector<engine_load> engine_registry::ownLoads() const
{
    std::vector<engine_load> loads;
    for (const auto &[id, each] : m_engines) {
        if (each.running > 0)
            loads.push_back({each.key, each.running, m_backlog.ownTokens(each.key)});
    }
    return loads;
}

engine_registry::engine_capacity engine_registry::capacityOf(std::string_view upstream,
                                                             core::time_point now) const
{
    return sumCapacity(upstream, now, [](const engine &) { return true; });
}

engine_registry::engine_capacity engine_registry::preferredCapacityOf(std::string_view upstream,
                                                                      core::time_point now) const
{
    return sumCapacity(upstream, now,
                       [](const engine &each) { return each.preference == affinity::Preferred; });
}

std::vector<preferred_slots> engine_registry::preferredSlots(std::string_view upstream,
                                                             core::time_point now) const
{
    std::vector<preferred_slots> result;
    for (const engine *each : enginesOf(upstream)) {
        if (each->preference != affinity::Preferred || !isUsable(*each, now))
            continue;
        const std::uint32_t slots = usableSlots(*each, now);
        const std::uint32_t used = std::min(slots, each->running + each->peersRunning);
        result.push_back({each->key, &each->entry.id, slots - used});
    }
    return result;
}

template<typename Filter>
engine_registry::engine_capacity
engine_registry::sumCapacity(std::string_view upstream, core::time_point now, Filter filter) const
{
    engine_capacity total;
    std::vector<engine *> usable = enginesOf(upstream);
    std::erase_if(usable, [&](const engine *each) { return !isUsable(*each, now); });
    eraseDegraded(usable, now);
    for (const engine *each : usable) {
        if (!filter(*each))
            continue;
        ++total.engines;
        const std::uint32_t slots = usableSlots(*each, now);
        total.slots += slots;
        total.running += std::min(slots, each->running + each->peersRunning);
        total.peersRunning += each->peersRunning;
    }
    return total;
}

const engine_entry *engine_registry::find(std::string_view id) const
{
    const auto found = m_engines.find(std::string(id));
    return found == m_engines.end() ? nullptr : &found->second.entry;
}

bool engine_registry::isUsable(const engine &candidate, core::time_point now) const
{
    return !isExcluded(candidate) && candidate.ejectedUntil <= now
           && candidate.statement.pausedUntil <= now;
}

bool engine_registry::isExcluded(const engine &candidate) const
{
    return candidate.entry.draining || candidate.statement.isLeaving
           || (!m_evacuated.empty() && m_evacuated.contains(candidate.entry.domain));
}

// All nodes and callers wait for the end of a pause, so their requests would arrive together.
std::uint32_t engine_registry::usableSlots(const engine &candidate, core::time_point now)
{
    const std::uint32_t slots = candidate.entry.slots;
    if (candidate.statement.pausedUntil == core::time_point{})
        return slots;
    const double fraction = seconds(now - candidate.statement.pausedUntil) / seconds(pauseRecovery);
    return fraction >= 1
               ? slots
               : std::max(1U, static_cast<std::uint32_t>(slots * std::max(0.0, fraction)));
}

bool engine_registry::allowsColdRequest(const engine &candidate, const fleet_share &share,
                                        core::time_point now) const
{
    if (candidate.coldUntil <= now || candidate.coldRate <= 0)
        return true;
    // With more nodes, one request per second of each would exceed the rate of the engine.
    const auto maxNodes = static_cast<std::size_t>(std::max(1.0, candidate.coldRate / 2));
    const std::size_t turn = (share.rank + candidate.key) % std::max<std::size_t>(share.known, 1);
    return turn < maxNodes && candidate.nextColdAt <= now;
}

void engine_registry::reserveColdRequest(engine &target, const fleet_share &share,
                                         core::time_point now) const
{
    const auto maxNodes = static_cast<std::size_t>(std::max(1.0, target.coldRate / 2));
    const auto nodeCount
        = static_cast<double>(std::min(maxNodes, std::max<std::size_t>(share.known, 1)));
    const double rate = target.coldRate * coldRateFraction / nodeCount;
    if (rate > 0)
        target.nextColdAt
            = now
              + std::chrono::duration_cast<core::duration>(std::chrono::duration<double>(1 / rate));
}

// The delayed load of an engine has changed by starts and completions at other nodes; their
// difference has a standard deviation of about the square root of their number.
bool engine_registry::hasFreeCapacity(const engine &candidate, const selection_request &request,
                                      double unreportedStarts, core::time_point now)
{
    const std::uint32_t slots = usableSlots(candidate, now);
    if (request.peerRequestsPerSlot)
        return candidate.running + *request.peerRequestsPerSlot * candidate.entry.slots < slots;
    const double margin = candidate.preference == affinity::Other ? std::sqrt(unreportedStarts) : 0;
    return candidate.running + candidate.peersRunning + std::lround(margin) < slots;
}

// A slower engine is used only if the faster ones have no free capacity, not if they are merely
// busy: a batching engine slows down little for one more request.
void engine_registry::keepLowestFixedCost(std::vector<candidate> &candidates)
{
    double lowestCost = std::numeric_limits<double>::max();
    for (const candidate &each : candidates)
        lowestCost = std::min(lowestCost, each.fixedCost);
    std::erase_if(candidates, [lowestCost](const candidate &each) {
        return each.fixedCost > lowestCost + similarCost;
    });
}

// With samples of d engines, the best 1/d of all engines receive d times the average number of
// requests between two statuses. The size is chosen so that these fill at most half of an engine.
void engine_registry::keepSample(std::vector<candidate> &candidates, double unreportedStarts)
{
    if (candidates.size() <= minSampleSize || unreportedStarts <= 0)
        return;
    double slots = 0;
    for (const candidate &each : candidates)
        slots += each.target->entry.slots;
    const double maxSize = slots / static_cast<double>(candidates.size()) / 2 / unreportedStarts;
    const auto size = static_cast<std::size_t>(std::clamp(
        maxSize, static_cast<double>(minSampleSize), static_cast<double>(candidates.size())));
    std::ranges::shuffle(candidates, m_random);
    candidates.resize(size);
}

// A draw weighted by free slots spreads nodes with equally old views over the engines.
void engine_registry::keepOneByFreeSlots(std::vector<candidate> &candidates)
{
    std::vector<double> free;
    free.reserve(candidates.size());
    for (const candidate &each : candidates)
        free.push_back(each.target->entry.slots - each.target->running - each.target->peersRunning);
    std::discrete_distribution<std::size_t> drawn(free.begin(), free.end());
    candidates = {candidates[drawn(m_random)]};
}

double engine_registry::fixedCost(const engine &candidate, const selection_request &request,
                                  double fastest, core::time_point now) const
{
    double sum = placementCost(candidate, now);
    // An engine without measurements counts as fast; one response is enough to measure it.
    const double eventIntervalSeconds
        = candidate.eventIntervalSeconds > 0 ? candidate.eventIntervalSeconds : fastest;
    if (request.promptTokens <= 0 || eventIntervalSeconds >= unknownEventIntervalSeconds)
        return sum;
    const double perToken = candidate.prefillSecondsPerToken > 0
                                ? candidate.prefillSecondsPerToken
                                : m_minPrefillSecondsPerToken * eventIntervalSeconds / fastest;
    const double first = eventsBeforeFirst * eventIntervalSeconds + request.promptTokens * perToken;
    if (request.objective > core::duration::zero())
        sum += first / seconds(request.objective);
    if (request.timeLeft > core::duration::zero()) {
        const double events = request.outputTokens / candidate.tokensPerEvent;
        const double timeFraction
            = (first + events * eventIntervalSeconds) / seconds(request.timeLeft);
        sum += timeFraction + overrunCost * std::max(0.0, timeFraction - safeTimeFraction);
    }
    return sum;
}

double engine_registry::placementCost(const engine &candidate, core::time_point now) const
{
    const double failures = failureCost * decayedFailures(candidate, now);
    if (candidate.entry.domain == m_domain)
        return failures;
    return failures + crossDomainRequests / std::max<double>(1, candidate.entry.slots);
}

double engine_registry::coordinatedCost(const engine &candidate, const selection_request &request,
                                        double fastest, core::time_point now) const
{
    return placementCost(candidate, now)
           + fitOf(fitRequest(request, candidate.tokensPerEvent), speedOf(candidate, fastest),
                   m_backlog, candidate.key, now)
                 .cost;
}

// An engine without measurements counts as fast; one response is enough to measure it.
engine_speed engine_registry::speedOf(const engine &candidate, double fastest) const
{
    engine_speed speed{candidate.eventIntervalSeconds, candidate.prefillSecondsPerToken};
    const bool isFastestKnown = fastest > 0 && fastest < unknownEventIntervalSeconds;
    if (speed.eventIntervalSeconds <= 0)
        speed.eventIntervalSeconds = isFastestKnown ? fastest : 0;
    if (speed.prefillSecondsPerToken <= 0)
        speed.prefillSecondsPerToken
            = m_minPrefillSecondsPerToken
              * (isFastestKnown ? speed.eventIntervalSeconds / fastest : 1);
    return speed;
}

bool engine_registry::shouldWaitForFasterEngine(std::span<engine *const> usable,
                                                std::span<engine *const> free,
                                                const selection_request &request, double fastest,
                                                core::time_point now) const
{
    if (free.empty() || request.objectiveLeft <= core::duration::zero())
        return false;
    const auto fit = [&](const engine *each) {
        return fitOf(fitRequest(request, each->tokensPerEvent), speedOf(*each, fastest), m_backlog,
                     each->key, now);
    };
    if (std::ranges::any_of(free, [&](const engine *each) { return fit(each).meetsObjective; }))
        return false;
    return std::ranges::any_of(usable, [&](const engine *each) {
        return each->preference != affinity::Other
               && isWorthWaiting(fitRequest(request, each->tokensPerEvent), fit(each));
    });
}

double engine_registry::loadCost(const engine &candidate, double peersRunning)
{
    const double load
        = (candidate.running + peersRunning + 1) / std::max<double>(1, candidate.entry.slots);
    return load * load * load + std::uniform_real_distribution<double>(0, tieBreakCost)(m_random);
}

bool engine_registry::isStalled(const engine &candidate, core::time_point now)
{
    return candidate.running > 0 && now - candidate.lastActivityAt > stallTimeout;
}

double engine_registry::decayedFailures(const engine &candidate, core::time_point now)
{
    if (candidate.recentFailures <= 0)
        return 0;
    return candidate.recentFailures
           * std::exp2(-seconds(now - candidate.recentFailuresAt) / failureHalfLifeSeconds);
}

void engine_registry::makeCold(engine &target, core::time_point until)
{
    target.coldUntil = std::max(target.coldUntil, until);
}

const std::vector<engine_registry::engine *> &
engine_registry::enginesOf(std::string_view upstream) const
{
    static const std::vector<engine *> none;
    const auto found = m_byUpstream.find(upstream);
    return found == m_byUpstream.end() ? none : found->second;
}

engine_registry::engine *engine_registry::engineOfKey(engine_key key)
{
    const auto id = m_idByKey.find(key);
    return id == m_idByKey.end() ? nullptr : findEngine(id->second);
}

engine_registry::engine *engine_registry::findEngine(std::string_view id)
{
    const auto found = m_engines.find(std::string(id));
    return found == m_engines.end() ? nullptr : &found->second;
}

} // namespace comfreypass::dispatch
