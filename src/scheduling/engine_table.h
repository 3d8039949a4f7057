#pragma once

#include "core/name.h"
#include "core/time_point.h"
#include "scheduling/engine_estimate.h"
#include "scheduling/engine_explanation.h"
#include "scheduling/permit_request.h"
#include "scheduling/prefix_table.h"
#include "scheduling/ramp.h"
#include "sheet/engine_info.h"
#include "sheet/sheet.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace comfreypass::scheduling {

/**
 * The engines of a pool with their ramps, estimates and vote shares, and an index of those with a
 * free place by outstanding work.
 *
 * The index has one ordered set for each hardware generation, slowness class and cold state, so
 * that a choice compares a bounded number of engines whatever their number. Not thread-safe.
 */
class engine_table
{
public:
    using engine_id = prefix_table::engine_id;

    struct engine
    {
        sheet::engine_info info;
        scheduling::ramp ramp;
        engine_estimate estimate;
        std::uint32_t slots = 1;
        /** In the instance list; an engine that is not stays here while dispatches run on it. */
        bool listed = false;
        /** May get new grants: listed, not leaving, failure domain in service. */
        bool usable = false;
        std::uint32_t running = 0;
        std::uint32_t runningLarge = 0;
        /** Requests that this scheduler may have on the engine. */
        std::uint32_t share = 0;
        /** Those of them that may be large. */
        std::uint32_t largeShare = 0;

        std::size_t generation = 0;
        /** Place in the index. */
        std::size_t group = 0;
        std::int64_t indexedWork = 0;
        bool inSmall = false;
        bool inLarge = false;
        bool counted = false;
    };

    /** What a request needs of an engine. */
    struct engine_demand
    {
        request_cost cost;
        bool small = true;
        /** False if the request may run for longer than dispatches on a cold engine may. */
        bool allowCold = true;
        core::time_point deadline{};
        std::span<const std::uint64_t> prefixHashes;
    };

    struct choice
    {
        engine_id engine = 0;
        std::uint32_t cachedPrefillTokens = 0;
    };

    /** `awaitReports`: responses of model engines count only after their first load report. */
    explicit engine_table(core::upstream_name upstream, bool awaitReports = false);

    void setSheet(const sheet::sheet &sheet);
    void setEngines(std::span<const sheet::engine_info> engines);
    /** Votes that count for warm engines, those that count for cold ones, and the denominator. */
    void setVotes(std::size_t held, std::size_t settled, std::size_t total);
    /**
     * Gives each place of a cold engine to one listed node, and the nodes whose settled votes are
     * held. A share of the limit would round down to no place at all as soon as one vote is
     * missing. Both lists are sorted; without listed nodes the share is used.
     */
    void setSlotOwners(std::vector<core::node_name> listed, std::vector<core::node_name> settled);

    /** Finds an engine or adds it as not listed. */
    engine newEngine(const core::engine_name &name) const;
    engine_id ensure(const core::engine_name &name);
    std::optional<engine_id> find(const core::engine_name &name) const;
    const engine &at(engine_id id) const { return m_engines.at(id); }
    /** Changes an engine's ramp or estimate; call `refresh` afterwards. */
    ramp &rampOf(engine_id id) { return m_engines.at(id).ramp; }
    engine_estimate &estimateOf(engine_id id) { return m_engines.at(id).estimate; }
    void refresh(engine_id id);
    std::size_t size() const noexcept { return m_engines.size(); }

    /** The engine with the shortest estimate that has a free place and meets the deadline. */
    std::optional<choice> choose(const engine_demand &request, core::time_point now) const;
    /** True if an engine has a free place for a small, or for a large request. */
    bool anyFree(bool small) const noexcept { return (small ? m_freeSmall : m_freeLarge) > 0; }
    bool anyUsable() const noexcept { return m_usable > 0; }
    /** Lower bound of the service time on the usable engines, if they had no other work. */
    core::duration shortestService(const engine_demand &request) const;
    /** True if the engine has a free place for the request, whatever the deadline. */
    bool hasFreeSlot(engine_id id, const engine_demand &request) const;
    /**
     * True if the request could be placed once one dispatch of this size has left, and would then
     * end before its deadline.
     */
    bool wouldFit(engine_id id, bool leavingSmall, const engine_demand &request,
                  core::time_point now) const;
    /** The cost without the prefill that is cached. */
    static request_cost uncached(const request_cost &cost, std::uint32_t cachedTokens);
    engine_explanation explain(engine_id id, const engine_demand &request,
                               core::time_point now) const;

    /** Counts a dispatch and returns its work for `removeWork`. */
    std::int64_t addWork(engine_id id, const request_cost &uncached, bool small,
                         core::time_point now);
    void removeWork(engine_id id, std::int64_t work, bool small);

    void rememberPrefix(std::span<const std::uint64_t> hashes, engine_id id);

    /** States that changed since the last call, and `others` of the rest in turn. */
    std::vector<ramp_state> takeRampStates(std::size_t others);

private:
    using index = std::set<std::pair<std::int64_t, engine_id>>;

    struct group
    {
        index withSmallSlot;
        index withLargeSlot;
        std::size_t usable = 0;
    };

    sheet::generation_spec factsOf(const sheet::engine_info &info) const;
    std::uint32_t shareOf(const engine &item) const;
    std::uint32_t ownedSlots(const engine &item) const;
    void refreshShares();
    std::size_t generationIndex(const sheet::engine_info &info);
    std::size_t groupOf(const engine &item) const;
    void applyFacts(engine_id id);
    void unindex(engine_id id);
    void forgetIfUnused(engine_id id);
    std::optional<choice> prefixChoice(const engine_demand &request, core::time_point now) const;
    std::uint32_t cachedTokens(engine_id id, const engine_demand &request) const;

    core::upstream_name m_upstream;
    bool m_awaitReports = false;
    std::unordered_map<std::string, sheet::generation_spec> m_facts;
    std::unordered_map<core::domain_name, bool> m_domains;
    std::uint32_t m_coldSlots = 1;
    /** Model engines have load pages; instances of plain services have none. */
    bool m_reportsLoad = false;
    sheet::generation_spec m_serviceFacts;

    std::vector<engine> m_engines;
    std::unordered_map<core::engine_name, engine_id> m_ids;
    std::unordered_map<std::string, std::size_t> m_generations;
    std::vector<sheet::generation_spec> m_generationFacts;
    std::vector<group> m_groups;
    /** Ids whose engine is neither listed nor runs anything. */
    std::vector<engine_id> m_unused;
    prefix_table m_prefixes;

    std::vector<core::node_name> m_listed;
    std::vector<core::node_name> m_settledNames;
    std::size_t m_held = 0;
    std::size_t m_settled = 0;
    std::size_t m_total = 1;
    std::size_t m_usable = 0;
    std::size_t m_freeSmall = 0;
    std::size_t m_freeLarge = 0;
    std::int64_t m_usableWork = 0;

    /** Versions last handed out, by engine. */
    std::vector<std::uint64_t> m_sentVersions;
    std::set<engine_id> m_changedRamps;
    std::size_t m_nextRamp = 0;
};

} // namespace comfreypass::scheduling
