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
 * free slot by outstanding work.
 *
 * The index has one ordered set for each hardware generation, latency class and cold state, so that
 * a selection compares a bounded number of engines regardless of their total. Not thread-safe.
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
        /** In the instance list. An unlisted engine stays here while dispatches run on it. */
        bool listed = false;
        /** May receive new grants: listed, not leaving, failure domain in service. */
        bool usable = false;
        std::uint32_t running = 0;
        std::uint32_t runningLarge = 0;
        /** Requests that this scheduler may run on the engine. */
        std::uint32_t share = 0;
        /** Large requests that this scheduler may run on the engine. */
        std::uint32_t largeShare = 0;

        std::size_t generation = 0;
        /** Index of the engine's group in `m_groups`. */
        std::size_t group = 0;
        std::int64_t indexedWork = 0;
        bool inSmallIndex = false;
        bool inLargeIndex = false;
        bool counted = false;
    };

    /** Requirements of a request on an engine. */
    struct engine_demand
    {
        request_cost cost;
        bool small = true;
        /** False if the request may run longer than the maximum for cold engines. */
        bool allowCold = true;
        core::time_point deadline{};
        std::span<const std::uint64_t> prefixHashes;
    };

    struct choice
    {
        engine_id engine = 0;
        std::uint32_t cachedPrefillTokens = 0;
    };

    /** If `awaitReports`, responses of model engines count only after the first load report. */
    explicit engine_table(core::upstream_name upstream, bool awaitReports = false);

    void setSheet(const sheet::sheet &sheet);
    void setEngines(std::span<const sheet::engine_info> engines);
    /** Sets the numbers of votes that count for warm (`held`) and cold (`settled`) engines, and the
     * denominator of both shares. */
    void setVotes(std::size_t held, std::size_t settled, std::size_t total);
    /**
     * Sets the listed nodes, which own the slots of cold engines, and the nodes whose settled votes
     * are held. Each slot of a cold engine has one owner, because a share of a small limit would
     * round down to zero as soon as one vote is missing. Both lists must be sorted. Without listed
     * nodes the share is used.
     */
    void setSlotOwners(std::vector<core::node_name> listed, std::vector<core::node_name> settled);

    engine newEngine(const core::engine_name &name) const;
    /** Returns the id of an engine; adds an unknown engine as not listed. */
    engine_id findOrAdd(const core::engine_name &name);
    std::optional<engine_id> find(const core::engine_name &name) const;
    const engine &at(engine_id id) const { return m_engines.at(id); }
    /** Returns an engine's ramp for modification; call `refresh` afterwards. The same holds for
     * `estimateOf`. */
    ramp &rampOf(engine_id id) { return m_engines.at(id).ramp; }
    engine_estimate &estimateOf(engine_id id) { return m_engines.at(id).estimate; }
    void refresh(engine_id id);
    std::size_t size() const noexcept { return m_engines.size(); }

    /**
     * Returns the engine with the shortest estimated service time that has a free slot and meets
     * the deadline. An engine that has the longest cached prefix is preferred.
     */
    std::optional<choice> choose(const engine_demand &request, core::time_point now) const;
    /** Returns true if an engine has a free slot for a small, or for a large request. */
    bool anyFree(bool small) const noexcept { return (small ? m_freeSmall : m_freeLarge) > 0; }
    bool anyUsable() const noexcept { return m_usable > 0; }
    /** Returns a lower bound of the service time on the usable engines without other work. */
    core::duration minServiceTime(const engine_demand &request) const;
    /** Returns true if the engine has a free slot for the request, regardless of the deadline. */
    bool hasFreeSlot(engine_id id, const engine_demand &request) const;
    /**
     * Returns true if the request would fit on the engine once a dispatch there has ended, which is
     * small if `leavingSmall`, and would then complete before its deadline.
     */
    bool wouldFit(engine_id id, bool leavingSmall, const engine_demand &request,
                  core::time_point now) const;
    /** Returns the cost without the cached prefill. */
    static request_cost uncached(const request_cost &cost, std::uint32_t cachedTokens);
    engine_explanation explain(engine_id id, const engine_demand &request,
                               core::time_point now) const;

    /** Adds a dispatch and returns its work for `removeWork`. */
    std::int64_t addWork(engine_id id, const request_cost &uncached, bool small,
                         core::time_point now);
    void removeWork(engine_id id, std::int64_t work, bool small);

    void recordPrefix(std::span<const std::uint64_t> hashes, engine_id id);

    /** Returns the states changed since the last call, and `others` more in round-robin order. */
    std::vector<ramp_state> takeRampStates(std::size_t others);

private:
    using index = std::set<std::pair<std::int64_t, engine_id>>;

    struct group
    {
        index withSmallSlot;
        index withLargeSlot;
        std::size_t usable = 0;
    };

    sheet::generation_spec specOf(const sheet::engine_info &info) const;
    std::uint32_t shareOf(const engine &item) const;
    std::uint32_t ownedSlots(const engine &item) const;
    void refreshShares();
    std::size_t generationIndex(const sheet::engine_info &info);
    std::size_t groupOf(const engine &item) const;
    void applySpec(engine_id id);
    void unindex(engine_id id);
    void releaseIfUnused(engine_id id);
    std::optional<choice> prefixChoice(const engine_demand &request, core::time_point now) const;
    std::uint32_t cachedTokens(engine_id id, const engine_demand &request) const;

    core::upstream_name m_upstream;
    bool m_awaitReports = false;
    std::unordered_map<std::string, sheet::generation_spec> m_specByName;
    std::unordered_map<core::domain_name, bool> m_domains;
    std::uint32_t m_coldSlots = 1;
    /** Model engines have load pages; instances of plain services have none. */
    bool m_reportsLoad = false;
    sheet::generation_spec m_serviceSpec;

    std::vector<engine> m_engines;
    std::unordered_map<core::engine_name, engine_id> m_ids;
    std::unordered_map<std::string, std::size_t> m_generations;
    std::vector<sheet::generation_spec> m_generationSpecs;
    std::vector<group> m_groups;
    /** Ids of removed engines, which were neither listed nor running any dispatch. */
    std::vector<engine_id> m_unused;
    prefix_table m_prefixes;

    std::vector<core::node_name> m_listed;
    std::vector<core::node_name> m_settledNames;
    std::size_t m_heldVotes = 0;
    std::size_t m_settledVotes = 0;
    std::size_t m_totalVotes = 1;
    std::size_t m_usable = 0;
    std::size_t m_freeSmall = 0;
    std::size_t m_freeLarge = 0;
    std::int64_t m_usableWork = 0;

    /** Last versions returned by `takeRampStates`, by engine. */
    std::vector<std::uint64_t> m_sentVersions;
    std::set<engine_id> m_changedRamps;
    std::size_t m_nextRamp = 0;
};

} // namespace comfreypass::scheduling
