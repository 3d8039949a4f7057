#include "dispatch/admission.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <limits>

namespace comfreypass::dispatch {

namespace {

using namespace std::chrono_literals;

/** Per upstream and node; a node of the planned size receives 10 requests per second. */
constexpr std::size_t maxQueuedRequests = 512;

/** Time constant of the smoothed rates; about the duration of one generation. */
constexpr double rateTimeConstantSeconds = 2;

/** A node that has not polled for longer acquires only the slots freed in this time. */
constexpr core::duration maxTurnoverWindow = 100ms;

/**
 * Weights of a new observation in the smoothed service time. Unusually long times are caused by
 * failures, and a node with few requests must not treat them as the usual time.
 */
constexpr double shorterServiceWeight = 0.5;
constexpr double longerServiceWeight = 0.05;

/** Weight of a new observation in the smoothed time to the first event; outliers are capped. */
constexpr double firstEventWeight = 0.1;

/** Priorities per upstream with a smoothed time; configurations use a few dozen. */
constexpr std::size_t maxTrackedPriorities = 256;

/** Lower bound on the completion rate in the expected wait, for nodes without completions. */
constexpr double minCompletionsPerSecond = 2;

/**
 * A queued request is refused if its forecast exceeds the time that it may still wait by this
 * factor; the rates of a small node vary by a fifth.
 */
constexpr double forecastTolerance = 1.5;

/** Bounds of the retry delay in refusals. */
constexpr core::duration minRetryAfter = 300ms;
constexpr core::duration maxRetryAfter = 4s;

/** Includes the queued requests of all priorities. */
constexpr std::uint32_t lowestPriority = std::numeric_limits<std::uint32_t>::max();

/** The latency between failure domains is below 4 ms. */
constexpr core::duration reportTravelTime = 4ms;

/** Below the lifetime of a report, so that a queue that does not change remains known to peers. */
constexpr core::duration queueReportInterval = 60ms;

/**
 * Interval of the reports that change only the number of requests. Each goes to all nodes that
 * share an engine, so they would be most of the traffic of a node in overload.
 */
constexpr core::duration minQueueReportInterval = 40ms;

double seconds(core::duration time)
{
    return std::chrono::duration<double>(time).count();
}

core::duration fromSeconds(double value)
{
    return std::chrono::duration_cast<core::duration>(std::chrono::duration<double>(value));
}

} // namespace

/**
 * Probability that a free slot of a preferred engine is acquired in one poll. The few other nodes
 * that prefer the engine see the slot too, and learn of a start within one poll interval.
 */
constexpr double preferredSlotProbability = 0.34;

std::string_view toString(refusal_cause cause) noexcept
{
    static constexpr std::array<std::string_view, 7> names
        = {"none",           "no_engine",        "queue_full", "wait_too_long", "engines_leaving",
           "engines_paused", "forecast_too_long"};
    return names.at(static_cast<std::size_t>(cause));
}

admission::admission(engine_registry &registry, const fleet_view &fleet, std::uint32_t seed)
    : m_registry(registry), m_fleet(fleet), m_random(seed)
{ }

admission_decision admission::submit(const admission_request &request, core::time_point now)
{
    upstream_state &state = m_upstreams[request.upstream];
    admission_decision decision;
    if (request.isNew()) {
        state.returns.onAsked(request.priority, now);
        state.shares.onAsked(request.priority, request.outputTokens, now);
    }
    if (!mustWait(request, state, now)) {
        decision.basis = chooseWithinAllowance(state, request, now);
        if (decision.basis.outcome == selection_outcome::Selected) {
            decision.outcome = admission_outcome::Start;
            decision.engine = *decision.basis.engine;
            recordStart(request, decision.engine.id, now);
            recordEvent(state.startsPerSecond, state.startsUpdatedAt, now);
            state.forecast.onAdmitted(request.priority, latestStart(request, state) <= now, now);
            onGranted(request, state, now);
            return decision;
        }
    }
    decision.ahead = queuedAhead(request, state, now);
    decision.expectedWait = expectedWait(request.upstream, decision.ahead, now);
    decision.cause = causeToRefuse(request, state, decision, now);
    if (decision.cause != refusal_cause::None) {
        if (request.isNew())
            state.returns.onRefused(request.priority, now);
        decision.retryAfter = retryAfter(request.upstream, request.priority, now, request.deadline);
        return decision;
    }
    decision.outcome = admission_outcome::Wait;
    state.forecast.onAdmitted(request.priority, latestStart(request, state) <= now, now);
    state.queue.push({request.id, request.priority, latestStart(request, state),
                      request.queueDeadline, request.isRunning});
    m_requests.insert_or_assign(request.id, request);
    return decision;
}

refusal_cause admission::causeToRefuse(const admission_request &request, upstream_state &state,
                                       const admission_decision &decision,
                                       core::time_point now) const
{
    const auto pause = m_registry.pauseOf(request.upstream, now);
    if (pause && pause->endsAt > request.queueDeadline)
        return refusal_cause::EnginesPaused;
    if (state.queue.size() >= maxQueuedRequests)
        return refusal_cause::QueueFull;
    if (const refusal_cause cause = causeByWait(request, state, decision, now);
        cause != refusal_cause::None)
        return cause;
    if (request.queueDeadline > now)
        return refusal_cause::None;
    const refusal_cause excluded = exclusionCause(request.upstream, now);
    if (excluded != refusal_cause::None)
        return excluded;
    const bool noEngine
        = decision.basis.outcome == selection_outcome::NoEngine && !mustWait(request, state, now);
    return noEngine ? refusal_cause::NoEngine : refusal_cause::WaitTooLong;
}

refusal_cause admission::causeByWait(const admission_request &request, upstream_state &state,
                                     const admission_decision &decision, core::time_point now) const
{
    if (isCoordinated(request.upstream) && request.isNew()) {
        const bool refused
            = state.forecast.mustRefuse({.priority = effectivePriority(request, state, now),
                                         .ahead = decision.ahead,
                                         .isLate = latestStart(request, state) <= now},
                                        request.queueDeadline - now, now);
        return refused ? refusal_cause::Forecast : refusal_cause::None;
    }
    const bool tooLong = decision.ahead > 0 && now + decision.expectedWait > request.queueDeadline;
    return tooLong ? refusal_cause::WaitTooLong : refusal_cause::None;
}

std::vector<admission_grant> admission::poll(const std::string &upstream, poll_trigger trigger,
                                             core::time_point now)
{
    std::vector<admission_grant> grants;
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end())
        return grants;
    upstream_state &state = found->second;
    wait_queue &queue = state.queue;
    const auto next = queue.next(now);
    if (!next)
        return grants;
    if (trigger == poll_trigger::OwnCompletion) {
        grant(state, 1, engine_choice::FreshLoad, grants, now);
        return grants;
    }
    const bool handsOver = isCoordinated(upstream) && m_registry.isSubsetted(upstream);
    if (trigger == poll_trigger::PeerUpdate) {
        if (handsOver)
            grant(state, queue.size(), engine_choice::FreshLoad, grants, now,
                  slot_event::PeerUpdate);
        return grants;
    }
    updateAllowance(upstream, state, m_requests.at(next->id), now);
    if (handsOver)
        grant(state, queue.size(), engine_choice::FreshLoad, grants, now, slot_event::Tick);
    else
        grant(state, drawPreferredSlots(upstream, now), engine_choice::FreshLoad, grants, now);
    // These slots become free without the end of a request, here or at a peer.
    if (const std::uint32_t free = m_registry.recoveringSlots(upstream, now); free > 0) {
        if (const auto waiting = queue.next(now))
            grant(state, shareOf(free, upstream, state, m_requests.at(waiting->id), now),
                  engine_choice::Any, grants, now);
    }
    state.allowance
        -= grant(state, state.allowance, engine_choice::Any, grants, now, slot_event::Tick);
    return grants;
}

// Engines that other nodes prefer are used only within this node's allowance.
engine_selection admission::chooseWithinAllowance(upstream_state &state,
                                                  const admission_request &request,
                                                  core::time_point now)
{
    const engine_selection fresh
        = choose(state, request, engine_choice::FreshLoad, now, slot_event::Arrival);
    if (fresh.outcome == selection_outcome::Selected || !m_registry.isSubsetted(request.upstream))
        return fresh;
    updateAllowance(request.upstream, state, request, now);
    if (state.allowance == 0)
        return fresh;
    const engine_selection any
        = choose(state, request, engine_choice::Any, now, slot_event::Arrival);
    if (any.outcome == selection_outcome::Selected)
        --state.allowance;
    return any;
}

std::size_t admission::grant(upstream_state &state, std::size_t maxGrants, engine_choice engines,
                             std::vector<admission_grant> &grants, core::time_point now,
                             slot_event event)
{
    std::size_t granted = 0;
    if (maxGrants == 0)
        return granted;
    for (const core::request_id id : inOrder(state, now)) {
        const admission_request &request = m_requests.at(id);
        const engine_selection basis = choose(state, request, engines, now, event);
        if (basis.outcome != selection_outcome::Selected) {
            // The free slots may all be at engines that only this request excludes.
            if (!request.restrictsEngines() && !basis.waitsForFasterEngine)
                break;
            continue;
        }
        grants.push_back({id, *basis.engine, basis});
        recordStart(request, basis.engine->id, now);
        recordEvent(state.startsPerSecond, state.startsUpdatedAt, now);
        onGranted(request, state, now);
        state.queue.remove(id);
        m_requests.erase(id);
        if (++granted == maxGrants)
            break;
    }
    return granted;
}

void admission::onGranted(const admission_request &request, upstream_state &state,
                          core::time_point now)
{
    state.forecast.onGranted(request.priority, now);
    if (request.isNew())
        state.shares.onGranted(request.priority, now);
}

std::uint32_t admission::effectivePriority(const admission_request &request,
                                           const upstream_state &state, core::time_point now) const
{
    return isCoordinated(request.upstream) ? state.shares.effectivePriority(request.priority, now)
                                           : request.priority;
}

std::size_t admission::queuedAhead(const admission_request &request, const upstream_state &state,
                                   core::time_point now) const
{
    const std::uint32_t effective = effectivePriority(request, state, now);
    if (effective == request.priority)
        return state.queue.ahead(request.priority);
    return (effective > 0 ? state.queue.ahead(effective - 1) : 0)
           + state.queue.countOf(request.priority);
}

std::vector<core::request_id> admission::inOrder(const upstream_state &state,
                                                 core::time_point now) const
{
    std::vector<core::request_id> ids = state.queue.inOrder(now);
    if (ids.empty() || !isCoordinated(m_requests.at(ids.front()).upstream))
        return ids;
    // A request that overtakes precedes those that it overtakes, and keeps its place otherwise.
    const auto rank = [&](core::request_id id) {
        const admission_request &request = m_requests.at(id);
        const std::uint32_t effective = effectivePriority(request, state, now);
        return std::pair(effective, effective == request.priority);
    };
    std::ranges::stable_sort(ids, {}, rank);
    return ids;
}

void admission::recordStart(const admission_request &request, const std::string &engineId,
                            core::time_point now)
{
    m_registry.onStart(engineId, now);
    if (isCoordinated(request.upstream))
        m_registry.onPromptStart(engineId, {.request = request.id,
                                            .tokens = request.promptTokens,
                                            .startedAt = now,
                                            .objectiveAt = request.objectiveAt});
}

std::size_t admission::drawPreferredSlots(const std::string &upstream, core::time_point now)
{
    const engine_registry::engine_capacity capacity = m_registry.preferredCapacityOf(upstream, now);
    return std::binomial_distribution<std::size_t>(capacity.slots - capacity.running,
                                                   preferredSlotProbability)(m_random);
}

// This node's share of the free slots is proportional to its share of the fleet's queue.
void admission::updateAllowance(const std::string &upstream, upstream_state &state,
                                const admission_request &next, core::time_point now)
{
    const engine_registry::engine_capacity preferred
        = m_registry.preferredCapacityOf(upstream, now);
    const bool subsetted = m_registry.isSubsetted(upstream);
    // Short requests free slots many times between two status messages.
    const bool completes = !subsetted && completesBetweenUpdates(state);
    const core::duration interval
        = completes ? fromSeconds(state.serviceSeconds) : next.objective / 2;
    const core::duration elapsed = now - state.allowanceUpdatedAt;
    if (state.allowanceGeneration == m_peerLoadGeneration && (subsetted || elapsed < interval))
        return;
    state.allowanceGeneration = m_peerLoadGeneration;
    state.allowanceUpdatedAt = now;
    const engine_registry::engine_capacity capacity = m_registry.capacityOf(upstream, now);
    auto free = static_cast<double>((capacity.slots - capacity.running)
                                    - (preferred.slots - preferred.running));
    // In overload, the nodes that prefer these engines fill the slots before their loads arrive.
    if (subsetted && isCoordinated(upstream))
        free = std::max(0.0, free - m_fleet.queuedAtPeers(upstream, lowestPriority, now));
    if (completes)
        free = std::max(free, capacity.slots * seconds(std::min(elapsed, maxTurnoverWindow))
                                  / state.serviceSeconds);
    state.allowance = shareOf(free, upstream, state, next, now);
}

std::size_t admission::shareOf(double freeSlots, const std::string &upstream,
                               const upstream_state &state, const admission_request &next,
                               core::time_point now)
{
    auto queuedHere = static_cast<double>(state.queue.size());
    auto queuedElsewhere = static_cast<double>(m_fleet.queuedAtPeers(upstream, next.priority, now));
    if (m_registry.isSubsetted(upstream)) {
        // Each node may also receive a request that is not queued yet.
        queuedHere += 1;
        queuedElsewhere += static_cast<double>(m_fleet.share(now).reachable - 1);
    }
    const double share
        = queuedHere > 0 ? freeSlots * queuedHere / (queuedHere + queuedElsewhere) : 0;
    // The fraction below one slot is rounded randomly, so that small shares are not always lost.
    return static_cast<std::size_t>(share + std::uniform_real_distribution<double>(0, 1)(m_random));
}

std::vector<core::request_id> admission::takeExpired(core::time_point now)
{
    std::vector<core::request_id> expired;
    for (auto &[upstream, state] : m_upstreams) {
        if (state.queue.empty())
            continue;
        const auto pause = m_registry.pauseOf(upstream, now);
        for (const waiting_request &each :
             state.queue.takeExpired(pause ? std::max(now, pause->endsAt) : now)) {
            expired.push_back(each.id);
            if (m_requests.at(each.id).isNew())
                state.returns.onRefused(each.priority, now);
            m_requests.erase(each.id);
        }
        if (isCoordinated(upstream) && !pause)
            takeHopeless(state, expired, now);
    }
    return expired;
}

// More urgent requests have arrived since these were queued. Refused now, their callers lose less.
void admission::takeHopeless(upstream_state &state, std::vector<core::request_id> &hopeless,
                             core::time_point now)
{
    std::size_t ahead = 0;
    for (const core::request_id id : inOrder(state, now)) {
        const admission_request &request = m_requests.at(id);
        const wait_forecast::newcomer position
            = {.priority = effectivePriority(request, state, now),
               .ahead = ahead,
               .isLate = latestStart(request, state) <= now};
        const core::duration limit
            = fromSeconds(forecastTolerance * seconds(request.queueDeadline - now));
        if (!request.isNew() || !state.forecast.exceeds(position, limit, now)) {
            ahead += request.isRunning ? 0 : 1;
            continue;
        }
        hopeless.push_back(id);
        state.returns.onRefused(request.priority, now);
        state.queue.remove(id);
        m_requests.erase(id);
    }
}

void admission::cancel(core::request_id id)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end())
        return;
    m_upstreams[found->second.upstream].queue.remove(id);
    m_requests.erase(found);
}

void admission::onEnd(const std::string &upstream, std::string_view engineId, attempt_result result,
                      core::duration serviceTime, core::time_point now)
{
    m_registry.onEnd(engineId, result, now);
    upstream_state &state = m_upstreams[upstream];
    recordEvent(state.completionsPerSecond, state.completionsUpdatedAt, now);
    state.freedEngine = engineId;
    if (result != attempt_result::Served || serviceTime <= core::duration::zero())
        return;
    const double value = seconds(serviceTime);
    if (state.serviceSeconds <= 0)
        state.serviceSeconds = value;
    const double weight = value < state.serviceSeconds ? shorterServiceWeight : longerServiceWeight;
    state.serviceSeconds += weight * (value - state.serviceSeconds);
}

void admission::onFirstEvent(const std::string &upstream, std::uint32_t priority,
                             core::duration time)
{
    std::unordered_map<std::uint32_t, double> &times = m_upstreams[upstream].firstEventSeconds;
    if (times.size() >= maxTrackedPriorities && !times.contains(priority))
        return;
    const auto [position, isFirst] = times.try_emplace(priority, seconds(time));
    double &smoothed = position->second;
    if (!isFirst)
        smoothed += firstEventWeight * (std::min(seconds(time), 2 * smoothed) - smoothed);
}

// Granting scarce slots purely in order of arrival would make all requests slightly late. The start
// time therefore accounts for the time to the first event.
core::time_point admission::latestStart(const admission_request &request,
                                        const upstream_state &state)
{
    const auto found = state.firstEventSeconds.find(request.priority);
    if (found == state.firstEventSeconds.end())
        return request.objectiveAt;
    return request.objectiveAt - std::min(fromSeconds(found->second), request.objective / 2);
}

refusal_cause admission::exclusionCause(const std::string &upstream, core::time_point now) const
{
    if (m_registry.pauseOf(upstream, now))
        return refusal_cause::EnginesPaused;
    return m_registry.areAllLeaving(upstream) ? refusal_cause::EnginesLeaving : refusal_cause::None;
}

core::duration admission::retryAfterPause(upstream_state &state, const upstream_pause &pause,
                                          std::uint32_t priority, core::time_point now)
{
    if (now >= state.pauseEndsAt)
        state.refusedInPause.clear();
    state.pauseEndsAt = pause.endsAt;
    std::size_t ahead = state.queue.ahead(priority);
    for (const auto &[each, count] : state.refusedInPause)
        ahead += each <= priority ? count : 0;
    if (state.refusedInPause.size() < maxTrackedPriorities
        || state.refusedInPause.contains(priority))
        ++state.refusedInPause[priority];
    double rate = minCompletionsPerSecond;
    if (state.serviceSeconds > 0)
        rate = std::max(rate, pause.slots / state.serviceSeconds
                                  / static_cast<double>(m_fleet.share(now).reachable));
    // The jitter never lets a caller return before the engine.
    const double factor = std::uniform_real_distribution<double>(0.7, 1.3)(m_random);
    const core::duration turn = fromSeconds(static_cast<double>(ahead + 1) / rate * factor);
    return pause.endsAt - now + std::min(turn, maxRetryAfter);
}

core::duration admission::retryAfter(const std::string &upstream, std::uint32_t priority,
                                     core::time_point now, std::optional<core::time_point> deadline)
{
    upstream_state &state = m_upstreams[upstream];
    if (const auto pause = m_registry.pauseOf(upstream, now))
        return retryAfterPause(state, *pause, priority, now);
    const core::duration wait = expectedWait(upstream, state.queue.size(), now);
    // Jitter keeps callers that were refused together from retrying together.
    const double factor = std::uniform_real_distribution<double>(0.7, 1.3)(m_random);
    const core::duration bounded = std::clamp(wait, minRetryAfter, maxRetryAfter);
    const core::duration usual = fromSeconds(seconds(bounded) * factor);
    if (!deadline || !isCoordinated(upstream))
        return usual;
    return state.returns.delay(priority, usual, *deadline - now,
                               std::uniform_real_distribution<double>(0, 1)(m_random), now);
}

std::vector<node_status::queue_length> admission::queues() const
{
    std::vector<node_status::queue_length> result;
    for (const auto &[upstream, state] : m_upstreams) {
        if (const auto urgent = state.queue.highestPriority())
            result.push_back({upstream, static_cast<std::uint32_t>(state.queue.size()), *urgent});
    }
    return result;
}

// A request never overtakes one of the same or a higher priority at this node or, while slots are
// scarce, one of a higher priority at a peer.
bool admission::mustWait(const admission_request &request, const upstream_state &state,
                         core::time_point now) const
{
    if (queuedAhead(request, state, now) > 0)
        return true;
    const std::uint32_t priority = effectivePriority(request, state, now);
    if (priority == 0)
        return false;
    const std::uint32_t urgent = m_fleet.queuedAtPeers(request.upstream, priority - 1, now);
    if (urgent == 0)
        return false;
    const engine_registry::engine_capacity capacity = m_registry.capacityOf(request.upstream, now);
    return capacity.running + urgent >= capacity.slots;
}

bool admission::completesBetweenUpdates(const upstream_state &state) const
{
    return state.serviceSeconds > 0 && state.serviceSeconds < seconds(m_loadAge);
}

core::duration admission::expectedWait(const std::string &upstream, std::size_t ahead,
                                       core::time_point now)
{
    const upstream_state &state = m_upstreams[upstream];
    double rate = std::max(decayed(state.completionsPerSecond, state.completionsUpdatedAt, now),
                           minCompletionsPerSecond);
    if (completesBetweenUpdates(state)) {
        // Slots are freed at all engines of the upstream and are shared among the nodes.
        const double all = m_registry.capacityOf(upstream, now).slots / state.serviceSeconds;
        rate = std::max(rate, all / static_cast<double>(m_fleet.share(now).reachable));
    }
    return fromSeconds(static_cast<double>(ahead) / rate);
}

// Single reports carry little information about short requests. Nodes that all react to the latest
// ones would stop and start in unison, so the reports are smoothed. With a queue, the starts follow
// the rate at which slots are freed, however busy the engines are reported to be.
std::optional<double> admission::peerRequestsPerSlot(upstream_state &state,
                                                     const std::string &upstream,
                                                     core::time_point now)
{
    if (m_registry.isSubsetted(upstream) || !completesBetweenUpdates(state))
        return std::nullopt;
    const engine_registry::engine_capacity capacity = m_registry.capacityOf(upstream, now);
    const double reported
        = capacity.peersRunning / std::max(1.0, static_cast<double>(capacity.slots));
    const double oldWeight = decayed(1, state.peerRequestsUpdatedAt, now);
    state.peerRequestsPerSlot = oldWeight * state.peerRequestsPerSlot + (1 - oldWeight) * reported;
    state.peerRequestsUpdatedAt = now;
    return state.queue.empty() ? state.peerRequestsPerSlot : 0;
}

bool admission::mustLeave(slot_claim claim, slot_event event, bool isFreedEngine, bool isKnown)
{
    switch (claim) {
    case slot_claim::Yielded:
        return true;
    case slot_claim::Unclaimed:
    case slot_claim::OpenSettled:
        return false;
    case slot_claim::Open:
        // A peer that does not know of the request may take the slot at the same time.
        return event != slot_event::Completion && !isKnown;
    case slot_claim::Contested:
        return event != slot_event::Completion || !isFreedEngine;
    case slot_claim::ContestedSettled:
        break;
    }
    if (event == slot_event::Completion && isFreedEngine)
        return false;
    return event == slot_event::PeerUpdate
           || !std::bernoulli_distribution(preferredSlotProbability)(m_random);
}

std::vector<std::string> admission::excludedEngines(const admission_request &request,
                                                    slot_event event, std::string_view freedEngine,
                                                    core::time_point now)
{
    std::vector<std::string> excluded = request.excluded;
    const bool isKnown = event != slot_event::Arrival && isKnownToPeers(request, now);
    const std::vector<preferred_slots> engines = m_registry.preferredSlots(request.upstream, now);
    const std::uint32_t priority = effectivePriority(request, m_upstreams[request.upstream], now);
    const std::vector<slot_claim> claims
        = m_handover.assess(request.upstream, priority, engines, now);
    for (std::size_t i = 0; i < engines.size(); ++i) {
        if (mustLeave(claims[i], event, *engines[i].id == freedEngine, isKnown))
            excluded.push_back(*engines[i].id);
    }
    return excluded;
}

bool admission::isKnownToPeers(const admission_request &request, core::time_point now) const
{
    const auto found = m_reportedQueues.find(request.upstream);
    if (found == m_reportedQueues.end())
        return false;
    const reported_queue &last = found->second;
    return last.count > 0 && last.priority == request.priority
           && now - last.prioritySince >= reportTravelTime;
}

void admission::setCoordinated(std::set<std::string, std::less<>> upstreams)
{
    m_coordinated = std::move(upstreams);
    std::erase_if(m_reportedQueues,
                  [this](const auto &entry) { return !m_coordinated.contains(entry.first); });
}

void admission::onPeerQueues(std::uint32_t peer, std::span<const node_status::queue_length> queues,
                             core::time_point now)
{
    for (const node_status::queue_length &queue : queues) {
        if (isCoordinated(queue.upstream))
            m_handover.onQueueReport(peer, queue, now);
    }
}

void admission::onPeerStatus(std::uint32_t peer, std::span<const node_status::queue_length> queues,
                             core::time_point now)
{
    for (const std::string &upstream : m_coordinated)
        m_handover.onStatus(peer, upstream, queues, now);
}

admission::reported_queue admission::currentQueue(std::string_view upstream,
                                                  core::time_point now) const
{
    const auto found = m_upstreams.find(std::string(upstream));
    if (found == m_upstreams.end())
        return {.at = now};
    const wait_queue &queue = found->second.queue;
    const std::uint32_t priority = queue.highestPriority().value_or(0);
    return {.count = static_cast<std::uint32_t>(queue.countOf(priority)),
            .priority = priority,
            .at = now};
}

bool admission::mustReport(const reported_queue &last, const reported_queue &current)
{
    if (last.priority != current.priority || (last.count == 0) != (current.count == 0))
        return true;
    if (last.count != current.count)
        return current.at - last.at >= minQueueReportInterval;
    return current.count > 0 && current.at - last.at >= queueReportInterval;
}

bool admission::hasQueueReports(core::time_point now) const
{
    return std::ranges::any_of(m_coordinated, [&](const std::string &upstream) {
        if (!m_registry.isSubsetted(upstream))
            return false;
        const auto last = m_reportedQueues.find(upstream);
        return mustReport(last == m_reportedQueues.end() ? reported_queue{} : last->second,
                          currentQueue(upstream, now));
    });
}

std::vector<node_status::queue_length> admission::takeQueueReports(core::time_point now)
{
    std::vector<node_status::queue_length> reports;
    for (const std::string &upstream : m_coordinated) {
        if (!m_registry.isSubsetted(upstream))
            continue;
        const reported_queue current = currentQueue(upstream, now);
        reported_queue &last = m_reportedQueues[upstream];
        if (!mustReport(last, current))
            continue;
        const bool samePriority = last.count > 0 && last.priority == current.priority;
        const core::time_point since = samePriority ? last.prioritySince : now;
        last = current;
        last.prioritySince = since;
        reports.push_back({upstream, current.count, current.priority});
    }
    return reports;
}

engine_selection admission::choose(upstream_state &state, const admission_request &request,
                                   engine_choice engines, core::time_point now, slot_event event)
{
    const bool handsOver
        = isCoordinated(request.upstream) && m_registry.isSubsetted(request.upstream);
    const std::vector<std::string> excluded
        = handsOver ? excludedEngines(request, event, state.freedEngine, now)
                    : std::vector<std::string>{};
    const fleet_share share = m_fleet.share(now);
    const auto peers = static_cast<double>(share.reachable - 1);
    // Callers are spread evenly over the nodes, so each peer starts about as many as this node.
    const double unreported
        = decayed(state.startsPerSecond, state.startsUpdatedAt, now) * peers * seconds(m_loadAge);
    engine_selection selection = m_registry.choose(
        {.upstream = request.upstream,
         .excluded = handsOver ? excluded : request.excluded,
         .unreportedStarts = unreported,
         .promptTokens = request.promptTokens,
         .outputTokens = request.outputTokens,
         .objective = request.objective,
         .timeLeft = request.deadline - now,
         .responsiveOnly = request.isRunning,
         .freshLoadOnly = engines == engine_choice::FreshLoad,
         .peerRequestsPerSlot = peerRequestsPerSlot(state, request.upstream, now),
         .coordinated = isCoordinated(request.upstream),
         .objectiveLeft = request.objectiveAt - now},
        share, now);
    // An engine whose slots are left to peers serves the upstream nevertheless.
    if (selection.outcome == selection_outcome::NoEngine
        && excluded.size() > request.excluded.size())
        selection.outcome = selection_outcome::NoCapacity;
    return selection;
}

double admission::decayed(double rate, core::time_point since, core::time_point now)
{
    return rate <= 0 ? 0 : rate * std::exp(-seconds(now - since) / rateTimeConstantSeconds);
}

void admission::recordEvent(double &rate, core::time_point &since, core::time_point now)
{
    rate = decayed(rate, since, now) + 1 / rateTimeConstantSeconds;
    since = now;
}

} // namespace comfreypass::dispatch
