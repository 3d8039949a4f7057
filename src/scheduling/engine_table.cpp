#include "scheduling/engine_table.h"

#include "core/rendezvous.h"
#include "scheduling/lease_holder.h"

#include <algorithm>
#include <chrono>

namespace comfreypass::scheduling {

namespace {

/** Work of a prefix's engine, relative to the mean, up to which the prefix decides. */
constexpr double prefixLoadBound = 1.25;
/** Share of an engine's places that large requests never take. */
constexpr std::uint32_t reserveDivisor = 4;
/** The sheet has no speed for plain services; the learned slowness corrects this value. */
constexpr double serviceOperationsPerSecond = 50;
constexpr std::size_t temperatures = 2;

std::uint32_t placesForLarge(std::uint32_t share)
{
    // A single place is not reserved, so that an engine can leave a cold start, and an engine with
    // one slot can serve, when all requests are large.
    if (share <= 1)
        return share;
    return share - std::max(1U, share / reserveDivisor);
}

} // namespace

engine_table::engine_table(core::upstream_name upstream, bool awaitReports)
    : m_upstream(std::move(upstream)), m_awaitReports(awaitReports)
{ }

void engine_table::setSheet(const sheet::sheet &sheet)
{
    m_facts.clear();
    for (const auto &[name, facts] : sheet.generations)
        m_facts.emplace(name, facts);
    m_domains.clear();
    for (const auto &[name, facts] : sheet.domains)
        m_domains.emplace(name, facts.inService);

    m_serviceFacts = {.prefillTokensPerSecond = serviceOperationsPerSecond,
                      .decodeTokensPerSecond = 0,
                      .slots = 1};
    const auto upstream = sheet.upstreams.find(m_upstream);
    if (upstream != sheet.upstreams.end()) {
        m_coldSlots = std::max(1U, upstream->second.coldSlots);
        m_reportsLoad = m_awaitReports && upstream->second.kind == sheet::upstream_kind::Model;
        if (upstream->second.kind == sheet::upstream_kind::Service)
            m_serviceFacts.slots = std::max(1U, upstream->second.serviceSlots);
    }
    for (engine_id id = 0; id < m_engines.size(); ++id)
        applyFacts(id);
}

void engine_table::setEngines(std::span<const sheet::engine_info> engines)
{
    for (engine &item : m_engines)
        item.listed = false;
    for (const sheet::engine_info &info : engines) {
        if (info.upstream != m_upstream)
            continue;
        engine &item = m_engines[ensure(info.name)];
        item.info = info;
        item.listed = true;
    }
    for (engine_id id = 0; id < m_engines.size(); ++id)
        applyFacts(id);
}

void engine_table::setVotes(std::size_t held, std::size_t settled, std::size_t total)
{
    if (held == m_held && settled == m_settled && total == m_total)
        return;
    m_held = held;
    m_settled = settled;
    m_total = total;
    refreshShares();
}

void engine_table::setSlotOwners(std::vector<core::node_name> listed,
                                 std::vector<core::node_name> settled)
{
    if (listed == m_listed && settled == m_settledNames)
        return;
    m_listed = std::move(listed);
    m_settledNames = std::move(settled);
    refreshShares();
}

void engine_table::refreshShares()
{
    for (engine_id id = 0; id < m_engines.size(); ++id) {
        if (shareOf(m_engines[id]) != m_engines[id].share)
            refresh(id);
    }
}

engine_table::engine engine_table::newEngine(const core::engine_name &name) const
{
    sheet::engine_info info;
    info.name = name;
    return {.info = std::move(info),
            .ramp = ramp(name, 1, 1),
            .estimate = engine_estimate(m_serviceFacts)};
}

engine_table::engine_id engine_table::ensure(const core::engine_name &name)
{
    const auto found = m_ids.find(name);
    if (found != m_ids.end())
        return found->second;

    if (m_unused.empty()) {
        m_unused.push_back(static_cast<engine_id>(m_engines.size()));
        m_engines.push_back(newEngine(name));
        m_sentVersions.push_back(0);
    }
    const engine_id id = m_unused.back();
    m_unused.pop_back();
    m_engines[id] = newEngine(name);
    m_sentVersions[id] = 0;
    m_ids.emplace(name, id);
    return id;
}

std::optional<engine_table::engine_id> engine_table::find(const core::engine_name &name) const
{
    const auto found = m_ids.find(name);
    if (found == m_ids.end())
        return std::nullopt;
    return found->second;
}

void engine_table::refresh(engine_id id)
{
    unindex(id);
    engine &item = m_engines[id];
    item.share = shareOf(item);
    item.largeShare = placesForLarge(item.share);
    if (item.ramp.state().version != m_sentVersions[id])
        m_changedRamps.insert(id);
    if (!item.usable) {
        forgetIfUnused(id);
        return;
    }

    item.group = groupOf(item);
    item.indexedWork = item.estimate.outstanding();
    item.counted = true;
    group &members = m_groups[item.group];
    ++members.usable;
    ++m_usable;
    m_usableWork += item.indexedWork;
    if (item.running >= item.share)
        return;
    item.inSmall = members.withSmallSlot.emplace(item.indexedWork, id).second;
    ++m_freeSmall;
    if (item.runningLarge >= item.largeShare)
        return;
    item.inLarge = members.withLargeSlot.emplace(item.indexedWork, id).second;
    ++m_freeLarge;
}

void engine_table::unindex(engine_id id)
{
    engine &item = m_engines[id];
    if (!item.counted)
        return;
    group &members = m_groups[item.group];
    --members.usable;
    --m_usable;
    m_usableWork -= item.indexedWork;
    if (item.inSmall) {
        members.withSmallSlot.erase({item.indexedWork, id});
        --m_freeSmall;
    }
    if (item.inLarge) {
        members.withLargeSlot.erase({item.indexedWork, id});
        --m_freeLarge;
    }
    item.counted = item.inSmall = item.inLarge = false;
}

void engine_table::forgetIfUnused(engine_id id)
{
    const engine &item = m_engines[id];
    const auto found = m_ids.find(item.info.name);
    if (item.listed || item.running > 0 || found == m_ids.end() || found->second != id)
        return;
    m_ids.erase(found);
    m_changedRamps.erase(id);
    m_unused.push_back(id);
}

std::optional<engine_table::choice> engine_table::choose(const engine_demand &request,
                                                         core::time_point now) const
{
    if (const auto preferred = prefixChoice(request, now))
        return preferred;

    std::optional<choice> best;
    core::duration bestService = request.deadline - now;
    for (const group &members : m_groups) {
        const index &candidates = request.small ? members.withSmallSlot : members.withLargeSlot;
        if (candidates.empty())
            continue;
        const engine_id id = candidates.begin()->second;
        const engine &item = m_engines[id];
        if (!request.allowCold && item.ramp.cold())
            continue;
        const core::duration service = item.estimate.service(request.cost, now);
        if (service > bestService || (best && service == bestService))
            continue;
        best = choice{id, 0};
        bestService = service;
    }
    return best;
}

core::duration engine_table::shortestService(const engine_demand &request) const
{
    request_cost cost = request.cost;
    if (const auto match = m_prefixes.find(request.prefixHashes))
        cost = uncached(cost, cachedTokens(match->engine, request));

    core::duration shortest = core::duration::max();
    for (std::size_t number = 0; number < m_groups.size(); ++number) {
        if (m_groups[number].usable == 0)
            continue;
        const std::size_t latencyClass = number / temperatures % engine_estimate::latencyClassCount;
        const std::size_t generation = number / temperatures / engine_estimate::latencyClassCount;
        const core::duration nominal
            = engine_estimate(m_generationFacts[generation]).idleService(cost);
        const double service = static_cast<double>(nominal.count())
                               * engine_estimate::minFactorOfClass(latencyClass);
        shortest = std::min(shortest, core::duration{static_cast<std::int64_t>(service)});
    }
    return shortest;
}

bool engine_table::hasFreeSlot(engine_id id, const engine_demand &request) const
{
    const engine &item = m_engines[id];
    return (request.small ? item.inSmall : item.inLarge)
           && (request.allowCold || !item.ramp.cold());
}

bool engine_table::wouldFit(engine_id id, bool leavingSmall, const engine_demand &request,
                            core::time_point now) const
{
    const engine &item = m_engines[id];
    if (!item.usable || item.running > item.share || (item.ramp.cold() && !request.allowCold))
        return false;
    if (now + item.estimate.service(request.cost, now) > request.deadline)
        return false;
    return request.small
           || (leavingSmall ? item.runningLarge < item.largeShare
                            : item.runningLarge <= item.largeShare);
}

engine_explanation engine_table::explain(engine_id id, const engine_demand &request,
                                         core::time_point now) const
{
    using verdict = engine_explanation::verdict;
    const engine &item = m_engines.at(id);
    engine_explanation told{.engine = item.info.name};
    told.cachedPrefillTokens = cachedTokens(id, request);
    told.estimate = item.estimate.service(uncached(request.cost, told.cachedPrefillTokens), now);
    if (!item.listed)
        told.result = verdict::NotListed;
    else if (item.info.leaving)
        told.result = verdict::Leaving;
    else if (!item.usable)
        told.result = verdict::DomainOutOfService;
    else if (item.share == 0)
        told.result = verdict::NoVotes;
    else if (!request.allowCold && item.ramp.cold())
        told.result = verdict::DeadlineTooLongForCold;
    else if (!item.inSmall)
        told.result = verdict::Full;
    else if (!request.small && !item.inLarge)
        told.result = verdict::ReservedForSmall;
    else if (now + told.estimate > request.deadline)
        told.result = verdict::DeadlineUnreachable;
    return told;
}

std::int64_t engine_table::addWork(engine_id id, const request_cost &uncached, bool small,
                                   core::time_point now)
{
    engine &item = m_engines.at(id);
    ++item.running;
    item.runningLarge += small ? 0 : 1;
    const std::int64_t work = item.estimate.add(uncached, now);
    refresh(id);
    return work;
}

void engine_table::removeWork(engine_id id, std::int64_t work, bool small)
{
    engine &item = m_engines.at(id);
    --item.running;
    item.runningLarge -= small ? 0 : 1;
    item.estimate.remove(work);
    refresh(id);
}

void engine_table::rememberPrefix(std::span<const std::uint64_t> hashes, engine_id id)
{
    m_prefixes.insert(hashes, id);
}

std::vector<ramp_state> engine_table::takeRampStates(std::size_t others)
{
    for (std::size_t i = 0; i < std::min(others, m_engines.size()); ++i) {
        m_nextRamp = (m_nextRamp + 1) % m_engines.size();
        if (m_engines[m_nextRamp].listed)
            m_changedRamps.insert(static_cast<engine_id>(m_nextRamp));
    }
    std::vector<ramp_state> states;
    states.reserve(m_changedRamps.size());
    for (const engine_id id : m_changedRamps) {
        states.push_back(m_engines[id].ramp.state());
        m_sentVersions[id] = states.back().version;
    }
    m_changedRamps.clear();
    return states;
}

std::uint32_t engine_table::shareOf(const engine &item) const
{
    if (!item.usable)
        return 0;
    if (!item.ramp.cold())
        return lease_holder::share(item.ramp.limit(), m_held, m_total);
    if (m_listed.empty())
        return lease_holder::share(item.ramp.limit(), m_settled, m_total);
    return ownedSlots(item);
}

// Every scheduler computes the same keeper for a place, so no place is counted twice.
std::uint32_t engine_table::ownedSlots(const engine &item) const
{
    std::uint32_t kept = 0;
    for (std::uint32_t place = 0; place < item.ramp.limit(); ++place) {
        const std::string key = item.info.name.text() + '#' + std::to_string(place);
        const core::node_name keeper = core::rendezvousRank(key, m_listed, 1).front();
        kept += std::binary_search(m_settledNames.begin(), m_settledNames.end(), keeper) ? 1 : 0;
    }
    return kept;
}

std::size_t engine_table::generationIndex(const sheet::engine_info &info)
{
    const auto [found, added] = m_generations.try_emplace(info.generation, m_generations.size());
    if (added)
        m_generationFacts.emplace_back();
    m_generationFacts[found->second] = factsOf(info);
    const std::size_t groups
        = m_generations.size() * engine_estimate::latencyClassCount * temperatures;
    if (m_groups.size() < groups)
        m_groups.resize(groups);
    return found->second;
}

std::size_t engine_table::groupOf(const engine &item) const
{
    const std::size_t row = item.generation * engine_estimate::latencyClassCount;
    return (row + item.estimate.latencyClass()) * temperatures + (item.ramp.cold() ? 1 : 0);
}

sheet::generation_spec engine_table::factsOf(const sheet::engine_info &info) const
{
    const auto found = m_facts.find(info.generation);
    return found == m_facts.end() ? m_serviceFacts : found->second;
}

void engine_table::applyFacts(engine_id id)
{
    unindex(id);
    engine &item = m_engines[id];
    const sheet::generation_spec facts = factsOf(item.info);
    item.slots = std::max(1U, facts.slots);
    item.generation = generationIndex(item.info);
    item.estimate.setFacts(facts);
    item.ramp.setSlots(item.slots, m_coldSlots);
    item.ramp.setAwaitsReport(m_reportsLoad);
    const auto domain = m_domains.find(item.info.domain);
    const bool inService = domain != m_domains.end() && domain->second;
    item.usable = item.listed && !item.info.leaving && inService;
    refresh(id);
}

std::optional<engine_table::choice> engine_table::prefixChoice(const engine_demand &request,
                                                               core::time_point now) const
{
    const auto match = m_prefixes.find(request.prefixHashes);
    if (!match || match->engine >= m_engines.size() || !hasFreeSlot(match->engine, request))
        return std::nullopt;
    const engine &item = m_engines[match->engine];
    const double mean = static_cast<double>(m_usableWork) / static_cast<double>(m_usable);
    if (static_cast<double>(item.estimate.outstanding()) > prefixLoadBound * mean)
        return std::nullopt;
    const std::uint32_t cached = cachedTokens(match->engine, request);
    if (now + item.estimate.service(uncached(request.cost, cached), now) > request.deadline)
        return std::nullopt;
    return choice{match->engine, cached};
}

request_cost engine_table::uncached(const request_cost &cost, std::uint32_t cachedTokens)
{
    return {cost.prefillTokens - std::min(cost.prefillTokens, cachedTokens), cost.decodeTokens};
}

std::uint32_t engine_table::cachedTokens(engine_id id, const engine_demand &request) const
{
    const auto match = m_prefixes.find(request.prefixHashes);
    if (!match || match->engine != id)
        return 0;
    const std::uint64_t tokens = request.cost.prefillTokens;
    return static_cast<std::uint32_t>(tokens * match->hashes / request.prefixHashes.size());
}

} // namespace comfreypass::scheduling
