#include "dispatch/admission.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>

namespace comfreypass::dispatch {

namespace {

using namespace std::chrono_literals;

/** Waiting requests of one upstream at one node; a node of the planned size takes 10 a second. */
constexpr std::size_t mostWaiting = 512;

/** Time constant of the smoothed rates, in seconds; about one usual generation. */
constexpr double rateSeconds = 2;

/** A node that has not looked for longer takes the slots that free in this time. */
constexpr core::duration longestTurnover = 100ms;

/**
 * Weights of a new observation in the smoothed time at the engines. Times that are much longer than
 * usual come from trouble; a node that sees few requests must not take them for the usual time.
 */
constexpr double shorterServiceWeight = 0.5;
constexpr double longerServiceWeight = 0.05;

/** Weight of a new observation in the smoothed time to the first event; outliers count less. */
constexpr double firstEventWeight = 0.1;

/** Priorities of one upstream whose times are kept; configurations have a few dozen. */
constexpr std::size_t mostPriorities = 256;

/** A node that has seen no end yet expects this many per second. */
constexpr double leastEndRate = 2;

/** Bounds of the advice to come back. */
constexpr core::duration leastRetryAfter = 300ms;
constexpr core::duration mostRetryAfter = 4s;

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
 * Chance that a free slot of a preferred engine is taken in one look at the queue. The few other
 * nodes that prefer the engine see the slot too, and hear of a start within one look.
 */
constexpr double preferredSlotChance = 0.34;

std::string_view toString(refusal_cause cause) noexcept
{
    static constexpr std::array<std::string_view, 4> words
        = {"none", "no_engine", "queue_full", "wait_too_long"};
    return words.at(static_cast<std::size_t>(cause));
}

admission::admission(engine_registry &registry, const fleet_view &fleet, std::uint32_t seed)
    : m_registry(registry), m_fleet(fleet), m_random(seed)
{ }

admission_decision admission::submit(const admission_request &request, core::time_point now)
{
    pool &state = m_pools[request.upstream];
    admission_decision decision;
    const bool waits = mustWait(request, state, now);
    if (!waits) {
        decision.basis = chooseWithin(state, request, now);
        if (decision.basis.outcome == selection_outcome::Selected) {
            decision.outcome = admission_outcome::Start;
            decision.engine = *decision.basis.engine;
            m_registry.onStart(decision.engine.id, now);
            count(state.startsPerSecond, state.startsAt, now);
            return decision;
        }
    }
    decision.ahead = state.queue.ahead(request.priority);
    decision.expectedWait = expectedWait(request.upstream, decision.ahead, now);
    decision.retryAfter = retryAfter(request.upstream, now);
    if (state.queue.size() >= mostWaiting) {
        decision.cause = refusal_cause::QueueFull;
        return decision;
    }
    if (decision.ahead > 0 && now + decision.expectedWait > request.queueDeadline) {
        decision.cause = refusal_cause::WaitTooLong;
        return decision;
    }
    if (request.queueDeadline <= now) {
        decision.cause = decision.basis.outcome == selection_outcome::NoEngine && !waits
                             ? refusal_cause::NoEngine
                             : refusal_cause::WaitTooLong;
        return decision;
    }
    decision.outcome = admission_outcome::Wait;
    state.queue.push(
        {request.id, request.priority, latestStart(request, state), request.queueDeadline});
    m_requests.insert_or_assign(request.id, request);
    return decision;
}

std::vector<admission_grant> admission::poll(const std::string &upstream, poll_trigger trigger,
                                             core::time_point now)
{
    std::vector<admission_grant> grants;
    const auto found = m_pools.find(upstream);
    if (found == m_pools.end())
        return grants;
    pool &state = found->second;
    wait_queue &queue = state.queue;
    const auto next = queue.next(now);
    if (!next)
        return grants;
    if (trigger == poll_trigger::OwnCompletion) {
        grant(state, 1, engine_choice::Known, grants, now);
        return grants;
    }
    renewAllowance(upstream, state, m_requests.at(next->id), now);
    grant(state, drawPreferred(upstream, now), engine_choice::Known, grants, now);
    state.allowance -= grant(state, state.allowance, engine_choice::Any, grants, now);
    return grants;
}

// An engine that other nodes prefer is taken within this node's part of the slots there only.
engine_selection admission::chooseWithin(pool &state, const admission_request &request,
                                         core::time_point now)
{
    const engine_selection known = choose(state, request, engine_choice::Known, now);
    if (known.outcome == selection_outcome::Selected || !m_registry.isSubsetted(request.upstream))
        return known;
    renewAllowance(request.upstream, state, request, now);
    if (state.allowance == 0)
        return known;
    const engine_selection any = choose(state, request, engine_choice::Any, now);
    if (any.outcome == selection_outcome::Selected)
        --state.allowance;
    return any;
}

std::size_t admission::grant(pool &state, std::size_t most, engine_choice engines,
                             std::vector<admission_grant> &grants, core::time_point now)
{
    std::size_t granted = 0;
    while (granted < most) {
        const auto next = state.queue.next(now);
        if (!next)
            break;
        const engine_selection basis = choose(state, m_requests.at(next->id), engines, now);
        if (basis.outcome != selection_outcome::Selected)
            break;
        ++granted;
        grants.push_back({next->id, *basis.engine, basis});
        m_registry.onStart(basis.engine->id, now);
        count(state.startsPerSecond, state.startsAt, now);
        state.queue.remove(next->id);
        m_requests.erase(next->id);
    }
    return granted;
}

std::size_t admission::drawPreferred(const std::string &upstream, core::time_point now)
{
    const engine_registry::engine_capacity capacity = m_registry.preferredCapacityOf(upstream, now);
    return std::binomial_distribution<std::size_t>(capacity.slots - capacity.running,
                                                   preferredSlotChance)(m_random);
}

// This node's part of the free slots follows its part of the fleet's queue.
void admission::renewAllowance(const std::string &upstream, pool &state,
                               const admission_request &next, core::time_point now)
{
    const engine_registry::engine_capacity preferred
        = m_registry.preferredCapacityOf(upstream, now);
    const bool subsetted = m_registry.isSubsetted(upstream);
    // Where requests are short, slots free many times between two exchanges.
    const bool ends = !subsetted && endsBetweenExchanges(state);
    const core::duration pause = ends ? fromSeconds(state.serviceSeconds) : next.objective / 2;
    const core::duration passed = now - state.allowanceAt;
    if (state.allowanceOf == m_peerLoadGeneration && (subsetted || passed < pause))
        return;
    state.allowanceOf = m_peerLoadGeneration;
    state.allowanceAt = now;
    const engine_registry::engine_capacity capacity = m_registry.capacityOf(upstream, now);
    auto free = static_cast<double>((capacity.slots - capacity.running)
                                    - (preferred.slots - preferred.running));
    if (ends)
        free = std::max(free, capacity.slots * seconds(std::min(passed, longestTurnover))
                                  / state.serviceSeconds);
    auto own = static_cast<double>(state.queue.size());
    auto others = static_cast<double>(m_fleet.queuedAtPeers(upstream, next.priority, now));
    if (subsetted) {
        // Each node may also get one that does not wait yet.
        own += 1;
        others += static_cast<double>(m_fleet.share(now).reachable - 1);
    }
    const double part = own > 0 ? free * own / (own + others) : 0;
    // The rest below one slot is drawn, so that small parts are not always lost.
    state.allowance
        = static_cast<std::size_t>(part + std::uniform_real_distribution<double>(0, 1)(m_random));
}

std::vector<core::request_id> admission::takeExpired(core::time_point now)
{
    std::vector<core::request_id> expired;
    for (auto &[upstream, state] : m_pools) {
        for (const waiting_request &each : state.queue.takeExpired(now)) {
            expired.push_back(each.id);
            m_requests.erase(each.id);
        }
    }
    return expired;
}

void admission::cancel(core::request_id id)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end())
        return;
    m_pools[found->second.upstream].queue.remove(id);
    m_requests.erase(found);
}

void admission::onEnd(const std::string &upstream, std::string_view engineId, attempt_result result,
                      core::duration ran, core::time_point now)
{
    m_registry.onEnd(engineId, result, now);
    pool &state = m_pools[upstream];
    count(state.endsPerSecond, state.endsAt, now);
    if (result != attempt_result::Served || ran <= core::duration::zero())
        return;
    const double value = seconds(ran);
    if (state.serviceSeconds <= 0)
        state.serviceSeconds = value;
    const double weight = value < state.serviceSeconds ? shorterServiceWeight : longerServiceWeight;
    state.serviceSeconds += weight * (value - state.serviceSeconds);
}

void admission::onFirstEvent(const std::string &upstream, std::uint32_t priority,
                             core::duration time)
{
    std::unordered_map<std::uint32_t, double> &known = m_pools[upstream].firstSeconds;
    if (known.size() >= mostPriorities && !known.contains(priority))
        return;
    const auto [position, isFirst] = known.try_emplace(priority, seconds(time));
    double &smoothed = position->second;
    if (!isFirst)
        smoothed += firstEventWeight * (std::min(seconds(time), 2 * smoothed) - smoothed);
}

// Slots that go to requests in the order of arrival alone would make all of them a little late when
// there are too few.
core::time_point admission::latestStart(const admission_request &request, const pool &state)
{
    const auto found = state.firstSeconds.find(request.priority);
    if (found == state.firstSeconds.end())
        return request.objectiveAt;
    return request.objectiveAt - std::min(fromSeconds(found->second), request.objective / 2);
}

core::duration admission::retryAfter(const std::string &upstream, core::time_point now)
{
    const pool &state = m_pools[upstream];
    const core::duration wait = expectedWait(upstream, state.queue.size(), now);
    // Spread, so that callers that were refused together do not come back together.
    const double factor = std::uniform_real_distribution<double>(0.7, 1.3)(m_random);
    const core::duration bounded = std::clamp(wait, leastRetryAfter, mostRetryAfter);
    return fromSeconds(seconds(bounded) * factor);
}

std::vector<node_status::queue_length> admission::queues() const
{
    std::vector<node_status::queue_length> result;
    for (const auto &[upstream, state] : m_pools) {
        if (const auto urgent = state.queue.highestPriority())
            result.push_back({upstream, static_cast<std::uint32_t>(state.queue.size()), *urgent});
    }
    return result;
}

// A request never overtakes one that is at least as urgent, at this node or, while slots are
// scarce, at a peer.
bool admission::mustWait(const admission_request &request, const pool &state,
                         core::time_point now) const
{
    if (state.queue.ahead(request.priority) > 0)
        return true;
    if (request.priority == 0)
        return false;
    const std::uint32_t urgent = m_fleet.queuedAtPeers(request.upstream, request.priority - 1, now);
    if (urgent == 0)
        return false;
    const engine_registry::engine_capacity capacity = m_registry.capacityOf(request.upstream, now);
    return capacity.running + urgent >= capacity.slots;
}

bool admission::endsBetweenExchanges(const pool &state) const
{
    return state.serviceSeconds > 0 && state.serviceSeconds < seconds(m_loadAge);
}

core::duration admission::expectedWait(const std::string &upstream, std::size_t ahead,
                                       core::time_point now)
{
    const pool &state = m_pools[upstream];
    double rate = std::max(decayed(state.endsPerSecond, state.endsAt, now), leastEndRate);
    if (endsBetweenExchanges(state)) {
        // Slots free all over the upstream and are shared among the nodes.
        const double all = m_registry.capacityOf(upstream, now).slots / state.serviceSeconds;
        rate = std::max(rate, all / static_cast<double>(m_fleet.share(now).reachable));
    }
    return fromSeconds(static_cast<double>(ahead) / rate);
}

// Single reports say little of short requests. Nodes that all reacted to the latest ones would stop
// and start together, so the reports are smoothed; and with a queue the starts follow the slots
// that free in a time, however busy the engines looked.
std::optional<double> admission::peersPerSlot(pool &state, const std::string &upstream,
                                              core::time_point now)
{
    if (m_registry.isSubsetted(upstream) || !endsBetweenExchanges(state))
        return std::nullopt;
    const engine_registry::engine_capacity capacity = m_registry.capacityOf(upstream, now);
    const double told = capacity.peersRunning / std::max(1.0, static_cast<double>(capacity.slots));
    const double kept = decayed(1, state.peersAt, now);
    state.peersPerSlot = kept * state.peersPerSlot + (1 - kept) * told;
    state.peersAt = now;
    return state.queue.empty() ? state.peersPerSlot : 0;
}

engine_selection admission::choose(pool &state, const admission_request &request,
                                   engine_choice engines, core::time_point now)
{
    const fleet_share share = m_fleet.share(now);
    const auto peers = static_cast<double>(share.reachable - 1);
    // Callers spread over the nodes evenly, so peers start about as much as this node does.
    const double unseen
        = decayed(state.startsPerSecond, state.startsAt, now) * peers * seconds(m_loadAge);
    return m_registry.choose({.upstream = request.upstream,
                              .excluded = request.excluded,
                              .unseenStarts = unseen,
                              .promptTokens = request.promptTokens,
                              .outputTokens = request.outputTokens,
                              .objective = request.objective,
                              .timeLeft = request.deadline - now,
                              .knownOnly = engines == engine_choice::Known,
                              .peersPerSlot = peersPerSlot(state, request.upstream, now)},
                             share, now);
}

double admission::decayed(double rate, core::time_point since, core::time_point now)
{
    return rate <= 0 ? 0 : rate * std::exp(-seconds(now - since) / rateSeconds);
}

void admission::count(double &rate, core::time_point &since, core::time_point now)
{
    rate = decayed(rate, since, now) + 1 / rateSeconds;
    since = now;
}

} // namespace comfreypass::dispatch
