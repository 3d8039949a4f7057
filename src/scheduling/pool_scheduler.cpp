#include "scheduling/pool_scheduler.h"

#include "core/hash.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace comfreypass::scheduling {

namespace {

/** Unchanged ramp states in a poll; all states reach the voters within a few rounds. */
constexpr std::size_t unchangedRampsPerPoll = 16;
/** No first token within this many times the estimated service counts as a slow first token. */
constexpr int noFirstTokenFactor = 4;
constexpr auto preemptResendInterval = std::chrono::milliseconds{250};
/** Urgent requests examined in one step; the next step examines the rest. */
constexpr std::size_t maxUrgentPerStep = 16;
/** Permit ids begin at the start time in microseconds, multiplied by this value. */
constexpr std::uint64_t permitsPerMicrosecond = 4'096;

/** Returns the latest time at which a node whose clock is 1% slower reaches the deadline. */
core::time_point addDrift(core::time_point deadline, core::time_point received)
{
    return deadline + (deadline - received) / 100;
}

/**
 * Returns the key of a dispatch that another scheduler granted. A node may use the permit of one
 * scheduler while a grant of another for the same request is in transit, so both count.
 */
request_ref foreignRef(core::incarnation incarnation, core::request_id request,
                       core::permit_id permit)
{
    const std::array numbers{request, permit};
    return {incarnation, core::hash64(std::as_bytes(std::span{numbers}))};
}

} // namespace

pool_scheduler::pool_scheduler(core::upstream_name upstream, scheduler_options options)
    : m_upstream(upstream), m_options(options), m_lease(options.lease, options.maxColdDispatch),
      m_queue(options.queueCapacity), m_engines(std::move(upstream), options.awaitLoadReports)
{ }

std::vector<outgoing> pool_scheduler::start(core::time_point now)
{
    outbox out;
    m_startRequested = true;
    startIfDue(now, out);
    return out;
}

std::vector<outgoing> pool_scheduler::stepDown(core::time_point now)
{
    outbox out;
    m_startRequested = false;
    if (!active())
        return out;
    for (const core::node_identity &node : m_lease.live())
        out.push_back({node.name, step_down{m_upstream}});
    refuseAll(m_queue.removeOverdue(core::time_point::max()), refusal_reason::LeaseLost, out);
    m_lease.stop();
    // A step-down message that arrives after a later poll would end a lease that is counted here.
    m_earliestStart = now + m_options.lease;
    updateShares(now);
    return out;
}

std::vector<outgoing> pool_scheduler::setSheet(std::shared_ptr<const sheet::sheet> sheet,
                                               core::time_point now)
{
    outbox out;
    m_sheet = std::move(sheet);
    m_engines.setSheet(*m_sheet);
    advance(now, out);
    const std::vector<core::node_identity> live(m_lease.live().begin(), m_lease.live().end());
    m_lease.setVoters(live, totalNodes());
    updateShares(now);
    dispatchQueued(now, out);
    return out;
}

std::vector<outgoing> pool_scheduler::setEngines(std::span<const sheet::engine_info> engines,
                                                 core::time_point now)
{
    outbox out;
    m_engines.setEngines(engines);
    advance(now, out);
    dispatchQueued(now, out);
    return out;
}

std::vector<outgoing> pool_scheduler::setVoters(std::span<const core::node_identity> live,
                                                std::size_t listedCount, core::time_point now)
{
    outbox out;
    advance(now, out);
    const std::vector<core::node_identity> before(m_lease.live().begin(), m_lease.live().end());
    m_listedNodes = listedCount;
    m_lease.setVoters(live, totalNodes());
    for (const core::node_identity &node : before) {
        if (!m_lease.isLive(node))
            m_queue.suspend(node.incarnation);
    }
    updateShares(now);
    if (!m_lease.inRound())
        return out;
    // A new node is polled in the current round, so that its vote expires with those of the round.
    for (const core::node_identity &node : m_lease.live()) {
        if (std::find(before.begin(), before.end(), node) == before.end())
            out.push_back({node.name, makePoll(m_lease.round(), m_engines.takeRampStates(0))});
    }
    return out;
}

std::vector<outgoing> pool_scheduler::setListedNodes(std::vector<core::node_name> names,
                                                     core::time_point now)
{
    outbox out;
    std::sort(names.begin(), names.end());
    m_listedNames = std::move(names);
    const std::vector<core::node_identity> live(m_lease.live().begin(), m_lease.live().end());
    m_lease.setListed(m_listedNames);
    m_lease.setVoters(live, totalNodes());
    updateShares(now);
    dispatchQueued(now, out);
    return out;
}

std::vector<outgoing> pool_scheduler::onPermitRequest(const core::node_identity &from,
                                                      const permit_request &request,
                                                      core::time_point now)
{
    outbox out;
    advance(now, out);
    const request_ref ref{from.incarnation, request.request};
    if (const dispatch_table::record *known = m_dispatches.find(ref)) {
        if (active())
            out.push_back({from.name, grantOf(*known)});
        return out;
    }
    if (m_queue.contains(ref))
        return out;

    const queued_request candidate{ref, from, request, {}, now, false};
    if (const auto reason = refusalFor(from, request)) {
        refuse(candidate, *reason, out);
        return out;
    }
    const auto shortest = m_engines.minServiceTime(demandOf(request, now));
    const core::time_point latestStart = request.deadline - shortest;
    if (latestStart < now) {
        refuse(candidate, refusal_reason::DeadlineUnreachable, out);
        return out;
    }
    if (!freeQueueSpace(request, now, out)) {
        refuse(candidate, refusal_reason::Capacity, out);
        return out;
    }
    enqueue(from, request, latestStart, now);
    dispatchQueued(now, out);
    preemptUrgent(now, out);
    return out;
}

std::vector<outgoing> pool_scheduler::onRelease(const core::node_identity &from,
                                                const permit_release &release, core::time_point now)
{
    outbox out;
    advance(now, out);
    request_ref ref{from.incarnation, release.request};
    if (release.permit == 0) {
        untrackQueued(m_queue.remove(ref));
        return out;
    }
    const dispatch_table::record *known = m_dispatches.find(ref);
    if (known == nullptr || known->permit != release.permit)
        ref = foreignRef(from.incarnation, release.request, release.permit);
    if (m_dispatches.find(ref) == nullptr)
        return out;
    const dispatch_table::record item = *m_dispatches.remove(ref);
    updateEstimates(item, release, now);
    const bool cancelled = release.result == dispatch_result::Cancelled;
    if (cancelled && m_engines.at(item.engine).ramp.cold())
        m_delayedReleases.emplace_back(now + m_options.cancelSettle, item);
    else
        releaseSlot(item, now, out);
    dispatchQueued(now, out);
    return out;
}

std::vector<outgoing> pool_scheduler::onVote(const core::node_identity &from,
                                             const lease_vote &vote, core::time_point now)
{
    outbox out;
    if (!active() || vote.upstream != m_upstream)
        return out;
    advance(now, out);
    const lease_holder::vote_change change = m_lease.onVote(from, vote, now);
    if (!change.recent)
        return out;

    importRamps(vote.ramps);
    const auto listed = recordRunning(from, vote, now);
    if (vote.granted) {
        for (const auto &item : m_dispatches.removeAbsent(from.incarnation, vote.sequence, listed))
            releaseSlot(item, now, out);
    } else if (m_lease.refuses(from) && !m_lease.holds(from)) {
        refuseAll(m_queue.removeNode(from.incarnation), refusal_reason::LeaseLost, out);
    }
    if (change.gained)
        m_queue.resume(from.incarnation);
    updateShares(now);
    dispatchQueued(now, out);
    return out;
}

std::vector<outgoing> pool_scheduler::onLoadReport(const load_report &report, core::time_point now)
{
    outbox out;
    advance(now, out);
    const auto id = m_engines.find(report.engine);
    if (!id)
        return out;
    scheduling::ramp &ramp = m_engines.rampOf(*id);
    const std::uint64_t epoch = ramp.state().engineEpoch;
    ramp.onLoadReport(report.engineEpoch, report.cold);
    if (epoch != 0 && epoch != report.engineEpoch)
        m_engines.estimateOf(*id).resetLatencyFactor();
    m_engines.refresh(*id);
    dispatchQueued(now, out);
    return out;
}

std::vector<outgoing> pool_scheduler::onNodeLost(const core::node_identity &node,
                                                 core::time_point now)
{
    outbox out;
    advance(now, out);
    m_lease.drop(node);
    for (const queued_request &item : m_queue.removeNode(node.incarnation))
        untrackQueued(item);
    updateShares(now);
    return out;
}

std::vector<outgoing> pool_scheduler::tick(core::time_point now)
{
    outbox out;
    startIfDue(now, out);
    advance(now, out);
    if (m_lease.roundDue(now))
        pollLive(now, out);
    updateShares(now);
    dispatchQueued(now, out);
    preemptUrgent(now, out);
    for (const auto *victim : m_dispatches.preemptOrdersBefore(now - preemptResendInterval, now))
        out.push_back({victim->origin, orderFor(*victim)});
    return out;
}

pool_snapshot pool_scheduler::snapshot(core::time_point now) const
{
    pool_snapshot result = m_counters;
    for (core::tier tier = 0; tier < core::tierCount; ++tier) {
        result.queued.at(tier) = m_queue.size(tier);
        result.running.at(tier) = m_dispatches.size(tier);
    }
    for (engine_table::engine_id id = 0; id < m_engines.size(); ++id) {
        const engine_table::engine &item = m_engines.at(id);
        if (!item.listed && item.running == 0)
            continue;
        result.engines.push_back({.name = item.info.name,
                                  .domain = item.info.domain,
                                  .limit = item.ramp.limit(),
                                  .slots = item.slots,
                                  .share = item.share,
                                  .running = item.running,
                                  .latencyFactor = item.estimate.latencyFactor(),
                                  .usable = item.usable});
    }
    result.votesHeld = m_lease.held();
    result.votesSettled = m_lease.settled(now);
    result.votesTotal = m_lease.total();
    result.votesRefused = m_lease.refused();
    result.active = active();
    return result;
}

std::vector<engine_explanation> pool_scheduler::explain(const permit_request &request,
                                                        core::time_point now) const
{
    std::vector<engine_explanation> explanations;
    const engine_table::engine_demand demand = demandOf(request, now);
    for (engine_table::engine_id id = 0; id < m_engines.size(); ++id) {
        const engine_table::engine &item = m_engines.at(id);
        if (item.listed || item.running > 0)
            explanations.push_back(m_engines.explain(id, demand, now));
    }
    return explanations;
}

void pool_scheduler::startIfDue(core::time_point now, outbox &out)
{
    if (!m_startRequested || active() || now < m_earliestStart)
        return;
    m_lease.start(now);
    const auto micros = static_cast<std::uint64_t>(now.time_since_epoch().count());
    m_lastPermit = std::max(m_lastPermit, micros * permitsPerMicrosecond);
    pollLive(now, out);
}

void pool_scheduler::pollLive(core::time_point now, outbox &out)
{
    const lease_poll poll
        = makePoll(m_lease.startRound(now), m_engines.takeRampStates(unchangedRampsPerPoll));
    for (const core::node_identity &node : m_lease.live())
        out.push_back({node.name, poll});
}

lease_poll pool_scheduler::makePoll(std::uint64_t sequence, std::vector<ramp_state> ramps) const
{
    return {m_upstream, sequence, m_options.lease, std::move(ramps)};
}

std::size_t pool_scheduler::totalNodes() const
{
    if (!m_listedNames.empty())
        return m_listedNames.size();
    return std::max<std::size_t>(m_listedNodes, m_sheet ? m_sheet->entryNodes : 1);
}

void pool_scheduler::updateShares(core::time_point now)
{
    m_engines.setVotes(m_lease.held(), m_lease.settled(now), m_lease.total());
    if (!m_listedNames.empty())
        m_engines.setSlotOwners(m_listedNames, m_lease.settledNames(now));
}

void pool_scheduler::advance(core::time_point now, outbox &out)
{
    const auto expired = m_lease.expire(now);
    for (const core::node_identity &node : expired) {
        if (m_lease.refuses(node))
            refuseAll(m_queue.removeNode(node.incarnation), refusal_reason::LeaseLost, out);
        else
            m_queue.suspend(node.incarnation);
    }
    if (!expired.empty())
        updateShares(now);
    for (const auto &item : m_dispatches.removeExpired(now))
        releaseSlot(item, now, out);
    while (!m_delayedReleases.empty() && m_delayedReleases.front().first <= now) {
        const dispatch_table::record item = std::move(m_delayedReleases.front().second);
        m_delayedReleases.pop_front();
        releaseSlot(item, now, out);
    }
    refuseAll(m_queue.removeOverdue(now), refusal_reason::DeadlineUnreachable, out);
}

std::optional<refusal_reason> pool_scheduler::refusalFor(const core::node_identity &from,
                                                         const permit_request &request) const
{
    const bool refused = m_lease.refuses(from) && !m_lease.holds(from);
    if (!active() || !m_sheet || refused || request.upstream != m_upstream)
        return refusal_reason::NotScheduler;

    const auto upstream = m_sheet->upstreams.find(m_upstream);
    if (upstream == m_sheet->upstreams.end() || !m_engines.anyUsable())
        return refusal_reason::NoUsableEngine;
    const auto &models = upstream->second.models;
    const bool served = std::find(models.begin(), models.end(), request.model) != models.end();
    if (!models.empty() && !served)
        return refusal_reason::NoUsableEngine;

    const auto team = m_sheet->teams.find(request.team);
    if (team == m_sheet->teams.end() || request.tier >= core::tierCount)
        return refusal_reason::TeamLimit;
    const auto &limit = team->second.tiers.at(request.tier);
    const auto used = m_inFlight.find(request.team);
    const std::uint32_t inFlight = used == m_inFlight.end() ? 0 : used->second.at(request.tier);
    if (!limit || inFlight >= limit->inFlight)
        return refusal_reason::TeamLimit;
    return std::nullopt;
}

engine_table::engine_demand pool_scheduler::demandOf(const permit_request &request,
                                                     core::time_point now) const
{
    return {.cost = request.cost,
            .small = isSmall(request.cost),
            .allowCold = request.deadline - now <= m_options.maxColdDispatch,
            .deadline = request.deadline,
            .prefixHashes = request.prefixHashes};
}

bool pool_scheduler::isSmall(const request_cost &cost) const
{
    return m_sheet && cost.total() < m_sheet->policy.smallRequestTokens;
}

bool pool_scheduler::freeQueueSpace(const permit_request &request, core::time_point now,
                                    outbox &out)
{
    // A slot that a preemption is about to free counts as free.
    const std::size_t freed = m_dispatches.preempting() + m_delayedReleases.size();
    if (m_queue.size() < m_options.queueCapacity + freed)
        return true;
    const core::tier lowestQueued = m_queue.lowestTier().value_or(0);
    const core::tier shedTier = std::max(lowestQueued, request.tier);
    const auto any = [](const dispatch_table::record &) {
        return true;
    };
    if (const dispatch_table::record *victim = m_dispatches.victimBelow(shedTier, any)) {
        preempt(*victim, now, out);
        return true;
    }
    if (auto displaced = m_queue.displaceBelow(request.tier)) {
        dropQueued(*displaced, refusal_reason::Displaced, out);
        return true;
    }
    return false;
}

void pool_scheduler::enqueue(const core::node_identity &from, const permit_request &request,
                             core::time_point latestStart, core::time_point now)
{
    if (!m_lease.holds(from))
        m_queue.suspend(from.incarnation);
    const double weight = m_sheet->teams.at(request.team).weight;
    countInFlight(request.team, request.tier, 1);
    m_queue.push({.ref = {from.incarnation, request.request},
                  .origin = from,
                  .request = request,
                  .latestStart = latestStart,
                  .received = now,
                  .small = isSmall(request.cost)},
                 weight > 0 ? weight : 1);
}

void pool_scheduler::dispatchQueued(core::time_point now, outbox &out)
{
    for (core::tier tier = 0; tier < core::tierCount && m_engines.anyFree(true); ++tier) {
        while (grantNext(tier, now, out)) {
        }
    }
}

bool pool_scheduler::grantNext(core::tier tier, core::time_point now, outbox &out)
{
    using lane = tier_queue::lane;
    const queued_request *small
        = m_engines.anyFree(true) ? m_queue.head(tier, lane::Small) : nullptr;
    const queued_request *large
        = m_engines.anyFree(false) ? m_queue.head(tier, lane::Large) : nullptr;
    const bool largeFirst
        = large != nullptr && (small == nullptr || large->latestStart < small->latestStart);
    const std::array<lane, 2> order
        = largeFirst ? std::array{lane::Large, lane::Small} : std::array{lane::Small, lane::Large};
    for (const lane which : order) {
        const queued_request *head = which == lane::Large ? large : small;
        if (head == nullptr)
            continue;
        const auto choice = m_engines.choose(demandOf(head->request, now), now);
        if (!choice)
            continue;
        grant(m_queue.pop(tier, which), *choice, now, out);
        return true;
    }
    return false;
}

void pool_scheduler::grant(queued_request item, const engine_table::choice &choice,
                           core::time_point now, outbox &out)
{
    const request_cost uncached
        = engine_table::uncached(item.request.cost, choice.cachedPrefillTokens);
    const engine_table::engine &engine = m_engines.at(choice.engine);
    dispatch_table::record record{.ref = item.ref,
                                  .request = item.ref.request,
                                  .origin = item.origin.name,
                                  .permit = ++m_lastPermit,
                                  .engine = choice.engine,
                                  .tier = item.request.tier,
                                  .team = item.request.team,
                                  .deadline = addDrift(item.request.deadline, item.received),
                                  .since = now,
                                  .small = item.small,
                                  .preemptible = item.request.preemptible,
                                  .leaseSequence = m_lease.sequenceOf(item.origin),
                                  .rampGeneration = engine.ramp.generation(),
                                  .cachedPrefillTokens = choice.cachedPrefillTokens,
                                  .latencyFactor = engine.estimate.latencyFactor()};
    record.estimatedFirstToken = engine.estimate.firstToken(uncached.prefillTokens, now);
    record.work = m_engines.addWork(choice.engine, uncached, item.small, now);
    m_engines.recordPrefix(item.request.prefixHashes, choice.engine);
    m_claiming.erase(item.ref);
    ++m_counters.granted;
    out.push_back({record.origin, grantOf(record)});
    m_dispatches.add(std::move(record));
}

permit_grant pool_scheduler::grantOf(const dispatch_table::record &item) const
{
    return {.request = item.request,
            .permit = item.permit,
            .upstream = m_upstream,
            .engine = m_engines.at(item.engine).info.name,
            .leaseSequence = item.leaseSequence,
            .validFor = m_options.permitValidity,
            .cachedPrefillTokens = item.cachedPrefillTokens};
}

void pool_scheduler::refuse(const queued_request &item, refusal_reason reason, outbox &out)
{
    const bool schedulerChanged
        = reason == refusal_reason::NotScheduler || reason == refusal_reason::LeaseLost;
    out.push_back({item.origin.name,
                   permit_refusal{.request = item.ref.request,
                                  .upstream = m_upstream,
                                  .reason = reason,
                                  .retryAfter = schedulerChanged ? m_options.lease / 3
                                                                 : core::duration::zero()}});
    ++m_counters.refused.at(static_cast<std::size_t>(reason));
}

void pool_scheduler::dropQueued(const queued_request &item, refusal_reason reason, outbox &out)
{
    untrackQueued(item);
    refuse(item, reason, out);
}

void pool_scheduler::untrackQueued(const std::optional<queued_request> &item)
{
    if (!item)
        return;
    countInFlight(item->request.team, item->request.tier, -1);
    m_claiming.erase(item->ref);
}

void pool_scheduler::refuseAll(std::span<const queued_request> items, refusal_reason reason,
                               outbox &out)
{
    for (const queued_request &item : items)
        dropQueued(item, reason, out);
}

void pool_scheduler::preemptUrgent(core::time_point now, outbox &out)
{
    for (const queued_request *waiting : m_queue.startingBefore(
             now + m_options.preemptLead + m_options.cancelSettle, maxUrgentPerStep)) {
        const core::tier tier = waiting->request.tier;
        if (m_claiming.contains(waiting->ref) || !m_dispatches.preemptibleBelow(tier))
            continue;
        const engine_table::engine_demand demand = demandOf(waiting->request, now);
        const bool urgent = waiting->latestStart < now + m_options.preemptLead;
        const auto fits = [&](const dispatch_table::record &item) {
            if (!urgent && !m_engines.at(item.engine).ramp.cold())
                return false;
            return m_engines.wouldFit(item.engine, item.small, demand, now);
        };
        const dispatch_table::record *victim = m_dispatches.victimBelow(tier, fits);
        if (victim == nullptr)
            continue;
        m_claimants.insert_or_assign(victim->ref, waiting->ref);
        m_claiming.insert(waiting->ref);
        preempt(*victim, now, out);
    }
}

void pool_scheduler::preempt(const dispatch_table::record &victim, core::time_point now,
                             outbox &out)
{
    ++m_counters.preempted;
    m_dispatches.markPreempting(victim.ref, now);
    out.push_back({victim.origin, orderFor(victim)});
}

preempt_order pool_scheduler::orderFor(const dispatch_table::record &victim) const
{
    return {victim.request, victim.permit, m_upstream};
}

void pool_scheduler::importRamps(std::span<const ramp_state> states)
{
    for (const ramp_state &state : states) {
        const auto id = m_engines.find(state.engine);
        const bool listed = id && m_engines.at(*id).listed;
        if (listed && m_engines.rampOf(*id).import(state))
            m_engines.refresh(*id);
    }
}

std::unordered_set<request_ref> pool_scheduler::recordRunning(const core::node_identity &from,
                                                              const lease_vote &vote,
                                                              core::time_point now)
{
    std::unordered_set<request_ref> listed;
    for (const running_dispatch &item : vote.running) {
        const request_ref request{from.incarnation, item.request};
        const dispatch_table::record *known = m_dispatches.find(request);
        const bool own = known != nullptr && known->permit == item.permit;
        const request_ref ref
            = own ? request : foreignRef(from.incarnation, item.request, item.permit);
        if (!own && m_dispatches.find(ref) == nullptr && now < item.deadline
            && item.tier < core::tierCount)
            addForeign(ref, from, item, now);
        if (vote.granted)
            m_dispatches.recordListed(ref, vote.sequence);
        listed.insert(ref);
    }
    return listed;
}

void pool_scheduler::addForeign(const request_ref &ref, const core::node_identity &from,
                                const running_dispatch &item, core::time_point now)
{
    // The node has received a permit from another scheduler in the meantime.
    untrackQueued(m_queue.remove({from.incarnation, item.request}));
    const auto engine = m_engines.findOrAdd(item.engine);
    dispatch_table::record record{.ref = ref,
                                  .request = item.request,
                                  .origin = from.name,
                                  .permit = item.permit,
                                  .engine = engine,
                                  .tier = item.tier,
                                  .team = item.team,
                                  .deadline = addDrift(item.deadline, now),
                                  .since = now,
                                  .small = isSmall(item.cost),
                                  .preemptible = item.preemptible,
                                  .foreign = true};
    record.work = m_engines.addWork(engine, item.cost, record.small, now);
    countInFlight(item.team, item.tier, 1);
    m_dispatches.add(std::move(record));
}

void pool_scheduler::updateEstimates(const dispatch_table::record &item,
                                     const permit_release &release, core::time_point now)
{
    scheduling::ramp &ramp = m_engines.rampOf(item.engine);
    if (item.foreign || ramp.generation() != item.rampGeneration)
        return;
    if (release.result == dispatch_result::Failed) {
        ramp.onConnectionFailure();
        return;
    }
    // A dispatch cancelled before its first token is a lower bound of the first-token time. It is
    // compared with the whole service time, because a response that is not streamed has its first
    // token at its end.
    const core::duration service{
        static_cast<std::int64_t>(static_cast<double>(item.work) * item.latencyFactor)};
    const core::duration elapsed = now - item.since;
    const bool noFirstToken = release.result == dispatch_result::Cancelled
                              && release.firstToken == core::duration::zero()
                              && elapsed > service * noFirstTokenFactor;
    if (noFirstToken)
        recordFirstToken(item, elapsed, service);
    else if (release.firstToken > core::duration::zero())
        recordFirstToken(item, release.firstToken, item.estimatedFirstToken);
    if (release.result == dispatch_result::Completed && release.inTime)
        ramp.onCompletedInTime(item.rampGeneration);
}

void pool_scheduler::recordFirstToken(const dispatch_table::record &item, core::duration measured,
                                      core::duration estimated)
{
    m_engines.rampOf(item.engine).onFirstToken(measured, estimated);
    m_engines.estimateOf(item.engine).updateLatencyFactor(measured, estimated, item.latencyFactor);
    m_engines.refresh(item.engine);
}

void pool_scheduler::releaseSlot(const dispatch_table::record &item, core::time_point now,
                                 outbox &out)
{
    m_engines.removeWork(item.engine, item.work, item.small);
    countInFlight(item.team, item.tier, -1);
    const auto claim = m_claimants.extract(item.ref);
    if (!claim.empty() && m_claiming.erase(claim.mapped()) > 0)
        grantToClaimant(claim.mapped(), now, out);
}

void pool_scheduler::grantToClaimant(const request_ref &claimant, core::time_point now, outbox &out)
{
    const queued_request *waiting = m_queue.findEligible(claimant);
    if (waiting == nullptr || now > waiting->latestStart)
        return;
    // Higher tiers take precedence, as in any other grant.
    for (core::tier tier = 0; tier < waiting->request.tier; ++tier) {
        if (m_queue.head(tier, tier_queue::lane::Small) != nullptr
            || m_queue.head(tier, tier_queue::lane::Large) != nullptr)
            return;
    }
    const auto choice = m_engines.choose(demandOf(waiting->request, now), now);
    if (choice)
        grant(*m_queue.remove(claimant), *choice, now, out);
}

void pool_scheduler::countInFlight(const core::team_name &team, core::tier tier, int change)
{
    const auto found = m_inFlight.try_emplace(team).first;
    std::uint32_t &count = found->second.at(tier);
    count = change < 0 ? count - 1 : count + 1;
    const auto isZero = [](std::uint32_t value) {
        return value == 0;
    };
    if (change < 0 && std::all_of(found->second.begin(), found->second.end(), isZero))
        m_inFlight.erase(found);
}

} // namespace comfreypass::scheduling
