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
 * The list of engines shows a return to cold up to this much later: a heartbeat interval and the
 * delay of the list.
 */
constexpr core::duration listDelay = 2s;

/** First pause after a failed connection; doubles with each further one. */
constexpr core::duration firstAvoidance = 250ms;
constexpr core::duration longestAvoidance = 4s;
constexpr double shortestPausePart = 0.7;

/**
 * Failures in a row after which an engine is avoided like one that is out of reach. An engine that
 * fails at once always has room, so it would draw in most requests of a busy fleet. Of an engine
 * that fails one request in four, one in 64 runs of three starts such a pause.
 */
constexpr std::uint32_t suspectFailures = 3;

/** An engine that served this node within this time is not avoided because a peer does. */
constexpr core::duration trustedService = 1s;

/** Half-life of a failure in the estimate of an engine's health. */
constexpr double failureHalfLifeSeconds = 3;

/** Cost of one recent failure, in loads of a whole engine. */
constexpr double failureCost = 0.4;

/**
 * Requests that an engine of this node's failure domain may run more than one elsewhere. Bytes
 * between domains cost, but a crowded engine costs callers time.
 */
constexpr double crossDomainRequests = 1;

/** Pace that no engine has. */
constexpr double unknownPace = 1e6;

/** Steps that pass before the first event of a small prompt, in events of a stream. */
constexpr double eventsBeforeFirst = 2;

/** Costs that differ by less, in loads of a whole engine, are decided by the load. */
constexpr double similarCost = 0.3;

/**
 * Estimates of the length are often off by a factor of two, so an answer that is expected to take
 * more than this part of its time may well not end in it.
 */
constexpr double safePartOfTime = 0.4;
constexpr double lateEndCost = 4;

/** Prompts from this size on tell how fast an engine reads; smaller ones mostly wait for a step. */
constexpr double tellingPromptTokens = 3'000;

/** Width of the random part of the cost, so that nodes with the same view do not all pick one. */
constexpr double tieBreakCost = 0.04;

/**
 * An engine that runs requests of this node and sends nothing for so long may be dead or hung. A
 * sound engine sends an event of each stream every few steps, and reads prompts in short chunks.
 */
constexpr core::duration suspiciousSilence = 700ms;

/** Events after which this node's own view of an engine's pace goes before that of peers. */
constexpr std::uint32_t enoughPaces = 30;

/** Weight of a new observation in the smoothed pace. */
constexpr double paceWeight = 0.1;

/**
 * Part of a cold engine's rate that is spent. In any second a node may send one request more than
 * its share, so the sum over the nodes stays within the engine's rate plus one for each node.
 */
constexpr double coldSpentPart = 0.75;

/** Two random choices already avoid most of the uneven load of a single one. */
constexpr std::size_t smallestSample = 2;

double seconds(core::duration time)
{
    return std::chrono::duration<double>(time).count();
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
    }
    if (settings != nullptr) {
        target.coldRate = settings->coldRequestsPerSecond;
        target.coldTime = settings->coldTime;
        target.tokensPerEvent = std::max(1.0, settings->tokensPerEvent);
    }
    if (restarted) {
        target.failures = 0;
        target.avoidUntil = {};
        target.suspectUntil = {};
        target.pausesInARow = 0;
        target.failedInARow = 0;
    }
    if (entry.coldRemaining > core::duration::zero())
        makeCold(target, now + entry.coldRemaining);
}

void engine_registry::remove(std::string_view id)
{
    const auto found = m_engines.find(std::string(id));
    if (found == m_engines.end())
        return;
    std::erase(m_byUpstream[found->second.entry.upstream], &found->second);
    m_idByKey.erase(found->second.key);
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
    // Engines of a domain that was out may have become cold; their entries tell it later.
    for (auto &[id, each] : m_engines) {
        if (each.entry.domain == domain && each.coldRate > 0)
            makeCold(each, now + listDelay);
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
    std::vector<engine_load> &before = m_peerLoads[peer];
    for (const engine_load &each : before)
        m_peersRunning[each.engine] -= each.running;
    for (const engine_load &each : loads)
        m_peersRunning[each.engine] += each.running;
    before.assign(loads.begin(), loads.end());
    std::erase_if(m_peersRunning, [](const auto &entry) { return entry.second == 0; });
    if (before.empty())
        m_peerLoads.erase(peer);
    for (auto &[id, each] : m_engines) {
        const auto found = m_peersRunning.find(each.key);
        each.peersRunning = found == m_peersRunning.end() ? 0 : found->second;
    }
}

void engine_registry::setPeerLoad(std::uint32_t peer, const engine_load &load)
{
    std::vector<engine_load> &loads = m_peerLoads[peer];
    auto known = std::ranges::find(loads, load.engine, &engine_load::engine);
    if (known == loads.end())
        known = loads.insert(loads.end(), {load.engine, 0});
    std::uint32_t &sum = m_peersRunning[load.engine];
    sum += load.running;
    sum -= known->running;
    const std::uint32_t running = sum;
    known->running = load.running;
    if (load.running == 0)
        loads.erase(known);
    if (running == 0)
        m_peersRunning.erase(load.engine);
    const auto id = m_idByKey.find(load.engine);
    if (id == m_idByKey.end())
        return;
    if (engine *target = findEngine(id->second))
        target->peersRunning = running;
}

void engine_registry::onPeerEjected(engine_key key, core::time_point now)
{
    const auto id = m_idByKey.find(key);
    engine *target = id == m_idByKey.end() ? nullptr : findEngine(id->second);
    // The peer alone may be cut off from the engine.
    if (target == nullptr || now - target->servedAt < trustedService)
        return;
    target->suspectUntil = std::max(target->suspectUntil, now + nextPause(*target, now));
}

// Pauses that several nodes report of one outage count once.
core::duration engine_registry::nextPause(engine &target, core::time_point now)
{
    if (target.pausesInARow == 0 || now - target.pausedAt > firstAvoidance / 2)
        ++target.pausesInARow;
    target.pausedAt = now;
    const std::uint32_t doublings = std::min<std::uint32_t>(target.pausesInARow - 1, 4);
    const core::duration pause
        = std::min<core::duration>(firstAvoidance * (1U << doublings), longestAvoidance);
    // The first node to try again tells the others, so they should not all try at once.
    const double part = std::uniform_real_distribution<double>(shortestPausePart, 1)(m_random);
    return std::chrono::duration_cast<core::duration>(pause * part);
}

// If most engines of an upstream fail, the requests or something behind the engines may be the
// cause, and the others could not take the load.
void engine_registry::eraseSuspects(std::vector<engine *> &candidates, core::time_point now)
{
    const auto suspect = [now](const engine *each) {
        return each->suspectUntil > now;
    };
    const auto count = static_cast<std::size_t>(std::ranges::count_if(candidates, suspect));
    if (count * 2 <= candidates.size())
        std::erase_if(candidates, suspect);
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
        const auto id = m_idByKey.find(key);
        const engine *target = id == m_idByKey.end() ? nullptr : findEngine(id->second);
        loads.push_back({key, target == nullptr ? 0 : target->running});
    }
    return loads;
}

std::vector<engine_key> engine_registry::takeEjected()
{
    return std::exchange(m_newlyAvoided, {});
}

void engine_registry::noteLoadChange(engine_key key)
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
    // After a pause of this process all engines look silent; then silence means nothing.
    const auto silent = [now](const engine *each) {
        return isSilent(*each, now);
    };
    if (!std::ranges::all_of(candidates, silent))
        std::erase_if(candidates, silent);
    eraseSuspects(candidates, now);
    const double unseen = request.unseenStarts / static_cast<double>(candidates.size());
    double fastest = unknownPace;
    for (const engine *each : candidates) {
        if (each->pace > 0)
            fastest = std::min(fastest, each->pace);
    }
    std::erase_if(candidates, [&](const engine *each) {
        return !hasRoom(*each, request, unseen) || !mayUseCold(*each, share, now)
               || (request.knownOnly && each->preference == affinity::Other);
    });
    std::vector<candidate> open;
    open.reserve(candidates.size());
    for (engine *each : candidates)
        open.push_back({each, fixedCost(*each, request, fastest, now)});
    keepBest(open);
    const auto isPreferred = [](const candidate &each) {
        return each.target->preference == affinity::Preferred;
    };
    if (std::ranges::any_of(open, isPreferred))
        std::erase_if(open, std::not_fn(isPreferred));
    else if (!open.empty() && open.front().target->preference == affinity::Other)
        keepOneByRoom(open);
    else
        keepSample(open, unseen);
    engine *best = nullptr;
    double least = std::numeric_limits<double>::max();
    for (const candidate &each : open) {
        const double peers = request.peersPerSlot ? *request.peersPerSlot * each.target->entry.slots
                                                  : each.target->peersRunning;
        const double price = each.fixedCost + loadCost(*each.target, peers);
        if (price < least) {
            least = price;
            best = each.target;
        }
    }
    if (best == nullptr)
        return {.outcome = selection_outcome::NoCapacity};
    const bool cold = best->coldUntil > now;
    if (cold)
        takeCold(*best, share, now);
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
        target->heardAt = now;
    noteLoadChange(target->key);
}

void engine_registry::onBytes(std::string_view id, core::time_point now)
{
    if (engine *target = findEngine(id))
        target->heardAt = now;
}

void engine_registry::onEnd(std::string_view id, attempt_result result, core::time_point now)
{
    engine *target = findEngine(id);
    if (target == nullptr)
        return;
    if (target->running > 0)
        --target->running;
    noteLoadChange(target->key);
    switch (result) {
    case attempt_result::Served:
        target->pausesInARow = 0;
        target->failedInARow = 0;
        target->suspectUntil = {};
        target->servedAt = now;
        target->failures = failuresNow(*target, now) * 0.7;
        target->failuresAt = now;
        break;
    case attempt_result::Failed:
        target->failures = failuresNow(*target, now) + 1;
        target->failuresAt = now;
        if (++target->failedInARow < suspectFailures)
            break;
        target->suspectUntil = now + nextPause(*target, now);
        m_newlyAvoided.push_back(target->key);
        break;
    case attempt_result::Rejected:
        // It is fuller than the nodes together believe; it gets a moment to empty.
        target->avoidUntil = std::max(target->avoidUntil, now + 100ms);
        break;
    case attempt_result::Misdirected:
        target->avoidUntil = now + longestAvoidance;
        break;
    case attempt_result::Unreachable: {
        const core::duration pause = nextPause(*target, now);
        target->avoidUntil = now + pause;
        m_newlyAvoided.push_back(target->key);
        // It may come back as a new process, which is cold before its entry says so.
        if (target->coldRate > 0)
            makeCold(*target, now + pause + target->coldTime);
        break;
    }
    case attempt_result::Neutral:
        break;
    }
}

void engine_registry::onEventInterval(std::string_view id, core::duration time)
{
    engine *target = findEngine(id);
    if (target == nullptr)
        return;
    const double value = seconds(time);
    // What a peer told is a start, not an observation.
    target->pace = target->pace > 0 ? target->pace + paceWeight * (value - target->pace) : value;
    ++target->pacesSeen;
    if (std::ranges::find(m_newPaces, target->entry.id) == m_newPaces.end())
        m_newPaces.push_back(target->entry.id);
}

void engine_registry::onPeerLatencies(std::span<const engine_latency> latencies)
{
    for (const engine_latency &each : latencies) {
        const auto id = m_idByKey.find(each.engine);
        engine *target = id == m_idByKey.end() ? nullptr : findEngine(id->second);
        if (target == nullptr || target->pacesSeen >= enoughPaces || each.eventIntervalSeconds <= 0)
            continue;
        target->pace = each.eventIntervalSeconds;
        if (each.prefillSecondsPerToken <= 0)
            continue;
        target->prefillSecondsPerToken = each.prefillSecondsPerToken;
        m_minPrefillSecondsPerToken
            = m_minPrefillSecondsPerToken > 0
                  ? std::min(m_minPrefillSecondsPerToken, each.prefillSecondsPerToken)
                  : each.prefillSecondsPerToken;
    }
}

std::vector<engine_latency> engine_registry::takeNewLatencies(std::size_t most)
{
    std::vector<engine_latency> latencies;
    while (!m_newPaces.empty() && latencies.size() < most) {
        if (const engine *each = findEngine(m_newPaces.back()))
            latencies.push_back({each->key, each->pace, each->prefillSecondsPerToken});
        m_newPaces.pop_back();
    }
    return latencies;
}

bool engine_registry::usable(std::string_view id, core::time_point now) const
{
    const auto found = m_engines.find(std::string(id));
    return found != m_engines.end() && isUsable(found->second, now);
}

void engine_registry::onFirstEvent(std::string_view id, double promptTokens, core::duration time)
{
    engine *target = findEngine(id);
    if (target == nullptr || promptTokens < tellingPromptTokens)
        return;
    const double value = seconds(time) / promptTokens;
    target->prefillSecondsPerToken
        = target->prefillSecondsPerToken > 0
              ? target->prefillSecondsPerToken
                    + paceWeight * (value - target->prefillSecondsPerToken)
              : value;
    m_minPrefillSecondsPerToken
        = m_minPrefillSecondsPerToken > 0
              ? std::min(m_minPrefillSecondsPerToken, target->prefillSecondsPerToken)
              : target->prefillSecondsPerToken;
}

bool engine_registry::hasCapacityElsewhere(std::string_view upstream, std::string_view id,
                                           core::time_point now) const
{
    return std::ranges::any_of(enginesOf(upstream), [&](const engine *each) {
        return each->entry.id != id && isUsable(*each, now) && !isSilent(*each, now)
               && each->running + each->peersRunning < each->entry.slots;
    });
}

std::vector<engine_load> engine_registry::ownLoads() const
{
    std::vector<engine_load> loads;
    for (const auto &[id, each] : m_engines) {
        if (each.running > 0)
            loads.push_back({each.key, each.running});
    }
    return loads;
}

engine_registry::engine_capacity engine_registry::capacityOf(std::string_view upstream,
                                                             core::time_point now) const
{
    return sumRoom(upstream, now, [](const engine &) { return true; });
}

engine_registry::engine_capacity engine_registry::preferredCapacityOf(std::string_view upstream,
                                                                      core::time_point now) const
{
    return sumRoom(upstream, now,
                   [](const engine &each) { return each.preference == affinity::Preferred; });
}

template<typename Filter>
engine_registry::engine_capacity engine_registry::sumRoom(std::string_view upstream,
                                                          core::time_point now, Filter filter) const
{
    engine_capacity total;
    std::vector<engine *> usable = enginesOf(upstream);
    std::erase_if(usable, [&](const engine *each) { return !isUsable(*each, now); });
    eraseSuspects(usable, now);
    for (const engine *each : usable) {
        if (!filter(*each))
            continue;
        ++total.engines;
        total.slots += each->entry.slots;
        total.running += std::min(each->entry.slots, each->running + each->peersRunning);
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
    return !candidate.entry.draining && candidate.avoidUntil <= now
           && (m_evacuated.empty() || !m_evacuated.contains(candidate.entry.domain));
}

bool engine_registry::mayUseCold(const engine &candidate, const fleet_share &share,
                                 core::time_point now) const
{
    if (candidate.coldUntil <= now || candidate.coldRate <= 0)
        return true;
    // Beyond this many nodes, one request of each in a second is more than the engine bears.
    const auto most = static_cast<std::size_t>(std::max(1.0, candidate.coldRate / 2));
    const std::size_t turn = (share.rank + candidate.key) % std::max<std::size_t>(share.known, 1);
    return turn < most && candidate.nextColdAt <= now;
}

void engine_registry::takeCold(engine &target, const fleet_share &share, core::time_point now) const
{
    const auto most = static_cast<std::size_t>(std::max(1.0, target.coldRate / 2));
    const auto users = static_cast<double>(std::min(most, std::max<std::size_t>(share.known, 1)));
    const double rate = target.coldRate * coldSpentPart / users;
    if (rate > 0)
        target.nextColdAt
            = now
              + std::chrono::duration_cast<core::duration>(std::chrono::duration<double>(1 / rate));
}

// What a node hears late has changed by starts and ends of others, whose difference spreads as the
// root of their number.
bool engine_registry::hasRoom(const engine &candidate, const selection_request &request,
                              double unseenStarts)
{
    if (request.peersPerSlot)
        return candidate.running + *request.peersPerSlot * candidate.entry.slots
               < candidate.entry.slots;
    const double margin = candidate.preference == affinity::Other ? std::sqrt(unseenStarts) : 0;
    return candidate.running + candidate.peersRunning + std::lround(margin) < candidate.entry.slots;
}

// A slower engine is used once the better ones have no room, not when they are merely busy: an
// engine that batches works hardly slower for one request more.
void engine_registry::keepBest(std::vector<candidate> &candidates)
{
    double least = std::numeric_limits<double>::max();
    for (const candidate &each : candidates)
        least = std::min(least, each.fixedCost);
    std::erase_if(candidates,
                  [least](const candidate &each) { return each.fixedCost > least + similarCost; });
}

// With a sample of d engines, the best d-th part of them gets d times the usual requests between
// two statuses. The sample is chosen so that these fill at most half of an engine.
void engine_registry::keepSample(std::vector<candidate> &candidates, double unseenStarts)
{
    if (candidates.size() <= smallestSample || unseenStarts <= 0)
        return;
    double slots = 0;
    for (const candidate &each : candidates)
        slots += each.target->entry.slots;
    const double most = slots / static_cast<double>(candidates.size()) / 2 / unseenStarts;
    const auto size = static_cast<std::size_t>(std::clamp(most, static_cast<double>(smallestSample),
                                                          static_cast<double>(candidates.size())));
    std::ranges::shuffle(candidates, m_random);
    candidates.resize(size);
}

// Nodes whose views are equally old spread over the engines as their free slots do.
void engine_registry::keepOneByRoom(std::vector<candidate> &candidates)
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
    double sum = failureCost * failuresNow(candidate, now);
    if (candidate.entry.domain != m_domain)
        sum += crossDomainRequests / std::max<double>(1, candidate.entry.slots);
    // An engine that is not known yet is taken for a fast one, and is known after one answer.
    const double pace = candidate.pace > 0 ? candidate.pace : fastest;
    if (request.promptTokens <= 0 || pace >= unknownPace)
        return sum;
    const double perToken = candidate.prefillSecondsPerToken > 0
                                ? candidate.prefillSecondsPerToken
                                : m_minPrefillSecondsPerToken * pace / fastest;
    const double first = eventsBeforeFirst * pace + request.promptTokens * perToken;
    if (request.objective > core::duration::zero())
        sum += first / seconds(request.objective);
    if (request.timeLeft > core::duration::zero()) {
        const double events = request.outputTokens / candidate.tokensPerEvent;
        const double part = (first + events * pace) / seconds(request.timeLeft);
        sum += part + lateEndCost * std::max(0.0, part - safePartOfTime);
    }
    return sum;
}

double engine_registry::loadCost(const engine &candidate, double peersRunning)
{
    const double load
        = (candidate.running + peersRunning + 1) / std::max<double>(1, candidate.entry.slots);
    return load * load * load + std::uniform_real_distribution<double>(0, tieBreakCost)(m_random);
}

bool engine_registry::isSilent(const engine &candidate, core::time_point now)
{
    return candidate.running > 0 && now - candidate.heardAt > suspiciousSilence;
}

double engine_registry::failuresNow(const engine &candidate, core::time_point now)
{
    if (candidate.failures <= 0)
        return 0;
    return candidate.failures
           * std::exp2(-seconds(now - candidate.failuresAt) / failureHalfLifeSeconds);
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

engine_registry::engine *engine_registry::findEngine(std::string_view id)
{
    const auto found = m_engines.find(std::string(id));
    return found == m_engines.end() ? nullptr : &found->second;
}

} // namespace comfreypass::dispatch
