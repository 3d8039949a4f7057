#include "scheduling/engine_table.h"

#include "core/rendezvous.h"
#include "scheduling/lease_holder.h"

#include <algorithm>
#include <chrono>

namespace comfreypass::scheduling {

namespace {

/** Maximum work of an engine, relative to the mean, for selection by a cached prefix. */
constexpr double maxPrefixLoadRatio = 1.25;
/** One slot in this many is reserved for small requests, but at least one. */
constexpr std::uint32_t smallReserveDivisor = 4;
/** The sheet has no speed for plain services; the measured latency factor corrects this value. */
constexpr double serviceOperationsPerSecond = 50;
constexpr std::size_t coldStateCount = 2;

std::uint32_t slotsForLarge(std::uint32_t share)
{
    // A single slot is not reserved. Otherwise, with only large requests, an engine could not leave
    // its cold start and an engine with one slot could not serve.
    if (share <= 1)
        return share;
    return share - std::max(1U, share / smallReserveDivisor);
}

} // namespace

engine_table::engine_table(core::upstream_name upstream, bool awaitReports)
    : m_upstream(std::move(upstream)), m_awaitReports(awaitReports)
{ }

void engine_table::setSheet(const sheet::sheet &sheet)
{
    m_specByName.clear();
    for (const auto &[name, spec] : sheet.generations)
        m_specByName.emplace(name, spec);
    m_domains.clear();
    for (const auto &[name, spec] : sheet.domains)
        m_domains.emplace(name, spec.inService);

    m_serviceSpec = {.prefillTokensPerSecond = serviceOperationsPerSecond,
                     .decodeTokensPerSecond = 0,
                     .slots = 1};
    const auto upstream = sheet.upstreams.find(m_upstream);
    if (upstream != sheet.upstreams.end()) {
        m_coldSlots = std::max(1U, upstream->second.coldSlots);
        m_reportsLoad = m_awaitReports && upstream->second.kind == sheet::upstream_kind::Model;
        if (upstream->second.kind == sheet::upstream_kind::Service)
            m_serviceSpec.slots = std::max(1U, upstream->second.serviceSlots);
    }
    for (engine_id id = 0; id < m_engines.size(); ++id)
        applySpec(id);
}

void engine_table::setEngines(std::span<const sheet::engine_info> engines)
{
    for (engine &item : m_engines)
        item.listed = false;
    for (const sheet::engine_info &info : engines) {
        if (info.upstream != m_upstream)
            continue;
        engine &item = m_engines[findOrAdd(info.name)];
        item.info = info;
        item.listed = true;
    }
    for (engine_id id = 0; id < m_engines.size(); ++id)
        applySpec(id);
}

void engine_table::setVotes(std::size_t held, std::size_t settled, std::size_t total)
{
    if (held == m_heldVotes && settled == m_settledVotes && total == m_totalVotes)
        return;
    m_heldVotes = held;
    m_settledVotes = settled;
    m_totalVotes = total;
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
            .estimate = engine_estimate(m_serviceSpec)};
}

engine_table::engine_id engine_table::findOrAdd(const core::engine_name &name)
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
    item.largeShare = slotsForLarge(item.share);
    if (item.ramp.state().version != m_sentVersions[id])
        m_changedRamps.insert(id);
    if (!item.usable) {
        releaseIfUnused(id);
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
    item.inSmallIndex = members.withSmallSlot.emplace(item.indexedWork, id).second;
    ++m_freeSmall;
    if (item.runningLarge >= item.largeShare)
        return;
    item.inLargeIndex = members.withLargeSlot.emplace(item.indexedWork, id).second;
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
    if (item.inSmallIndex) {
        members.withSmallSlot.erase({item.indexedWork, id});
        --m_freeSmall;
    }
    if (item.inLargeIndex) {
        members.withLargeSlot.erase({item.indexedWork, id});
        --m_freeLarge;
    }
    item.counted = item.inSmallIndex = item.inLargeIndex = false;
}

void engine_table::releaseIfUnused(engine_id id)
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

core::duration engine_table::minServiceTime(const engine_demand &request) const
{
    request_cost cost = request.cost;
    if (const auto match = m_prefixes.find(request.prefixHashes))
        cost = uncached(cost, cachedTokens(match->engine, request));

    core::duration shortest = core::duration::max();
    for (std::size_t number = 0; number < m_groups.size(); ++number) {
        if (m_groups[number].usable == 0)
            continue;
        const std::size_t latencyClass
            = number / coldStateCount % engine_estimate::latencyClassCount;
        const std::size_t generation = number / coldStateCount / engine_estimate::latencyClassCount;
        const core::duration nominal
            = engine_estimate(m_generationSpecs[generation]).idleService(cost);
        const double service = static_cast<double>(nominal.count())
                               * engine_estimate::minFactorOfClass(latencyClass);
        shortest = std::min(shortest, core::duration{static_cast<std::int64_t>(service)});
    }
    return shortest;
}

bool engine_table::hasFreeSlot(engine_id id, const engine_demand &request) const
{
    const engine &item = m_engines[id];
    return (request.small ? item.inSmallIndex : item.inLargeIndex)
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
    using status = engine_explanation::status;
    const engine &item = m_engines.at(id);
    engine_explanation explanation{.engine = item.info.name};
    explanation.cachedPrefillTokens = cachedTokens(id, request);
    explanation.estimate
        = item.estimate.service(uncached(request.cost, explanation.cachedPrefillTokens), now);
    if (!item.listed)
        explanation.result = status::NotListed;
    else if (item.info.leaving)
        explanation.result = status::Leaving;
    else if (!item.usable)
        explanation.result = status::DomainOutOfService;
    else if (item.share == 0)
        explanation.result = status::NoVotes;
    else if (!request.allowCold && item.ramp.cold())
        explanation.result = status::DeadlineTooLongForCold;
    else if (!item.inSmallIndex)
        explanation.result = status::Full;
    else if (!request.small && !item.inLargeIndex)
        explanation.result = status::ReservedForSmall;
    else if (now + explanation.estimate > request.deadline)
        explanation.result = status::DeadlineUnreachable;
    return explanation;
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

void engine_table::recordPrefix(std::span<const std::uint64_t> hashes, engine_id id)
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
        return lease_holder::share(item.ramp.limit(), m_heldVotes, m_totalVotes);
    if (m_listed.empty())
        return lease_holder::share(item.ramp.limit(), m_settledVotes, m_totalVotes);
    return ownedSlots(item);
}

// All schedulers compute the same owner of a slot, so that no slot is counted twice.
std::uint32_t engine_table::ownedSlots(const engine &item) const
{
    std::uint32_t owned = 0;
    for (std::uint32_t slot = 0; slot < item.ramp.limit(); ++slot) {
        const std::string key = item.info.name.text() + '#' + std::to_string(slot);
        const core::node_name owner = core::rendezvousRank(key, m_listed, 1).front();
        owned += std::binary_search(m_settledNames.begin(), m_settledNames.end(), owner) ? 1 : 0;
    }
    return owned;
}

std::size_t engine_table::generationIndex(const sheet::engine_info &info)
{
    const auto [found, added] = m_generations.try_emplace(info.generation, m_generations.size());
    if (added)
        m_generationSpecs.emplace_back();
    m_generationSpecs[found->second] = specOf(info);
    const std::size_t groups
        = m_generations.size() * engine_estimate::latencyClassCount * coldStateCount;
    if (m_groups.size() < groups)
        m_groups.resize(groups);
    return found->second;
}

std::size_t engine_table::groupOf(const engine &item) const
{
    const std::size_t row = item.generation * engine_estimate::latencyClassCount;
    return (row + item.estimate.latencyClass()) * coldStateCount + (item.ramp.cold() ? 1 : 0);
}

sheet::generation_spec engine_table::specOf(const sheet::engine_info &info) const
{
    const auto found = m_specByName.find(info.generation);
    return found == m_specByName.end() ? m_serviceSpec : found->second;
}

void engine_table::applySpec(engine_id id)
{
    unindex(id);
    engine &item = m_engines[id];
    const sheet::generation_spec spec = specOf(item.info);
    item.slots = std::max(1U, spec.slots);
    item.generation = generationIndex(item.info);
    item.estimate.setSpec(spec);
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
    if (static_cast<double>(item.estimate.outstanding()) > maxPrefixLoadRatio * mean)
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
