#pragma once

#include "core/ids.h"
#include "core/incarnation.h"
#include "core/name.h"
#include "core/tier.h"
#include "core/time_point.h"
#include "scheduling/prefix_table.h"
#include "scheduling/request_ref.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace comfreypass::scheduling {

/**
 * Permits and running dispatches that count against the engines of a pool: those granted by this
 * scheduler and those that votes report. Not thread-safe.
 */
class dispatch_table
{
public:
    struct record
    {
        /** Key in the table; for grants of this scheduler, the request. */
        request_ref ref;
        core::request_id request = 0;
        core::node_name origin;
        core::permit_id permit = 0;
        prefix_table::engine_id engine = 0;
        core::tier tier = core::lowestTier;
        core::team_name team;
        /** In the scheduler's clock; the dispatch counts until then at the latest. */
        core::time_point deadline{};
        core::time_point since{};
        bool small = true;
        bool preemptible = true;
        /** Granted by another scheduler and reported in a vote. */
        bool foreign = false;
        bool preempting = false;

        /** Sequences of the vote that the grant is based on and of the last vote that listed it. */
        std::uint64_t leaseSequence = 0;
        std::uint64_t listedSequence = 0;

        std::int64_t work = 0;
        std::uint32_t rampGeneration = 0;
        std::uint32_t cachedPrefillTokens = 0;
        core::duration estimatedFirstToken{};
        double latencyFactor = 1;
        core::time_point preemptSent{};
    };

    std::size_t size() const noexcept { return m_records.size(); }
    std::size_t size(core::tier tier) const { return m_byTier.at(tier); }
    const record *find(const request_ref &ref) const;

    /** Precondition: the request is not in the table. */
    void add(record item);
    std::optional<record> remove(request_ref ref);
    /** Removes the dispatches whose deadline has passed. */
    std::vector<record> removeExpired(core::time_point now);
    /** Records that a vote of this sequence listed the dispatch. */
    void recordListed(const request_ref &ref, std::uint64_t sequence);
    /**
     * Removes the dispatches of a node that a granted vote of this sequence shows to have ended:
     * those listed in an earlier vote and the grants of this scheduler that are void by now, unless
     * `listed` contains them.
     */
    std::vector<record> removeAbsent(core::incarnation incarnation, std::uint64_t sequence,
                                     const std::unordered_set<request_ref> &listed);

    /** Returns true if a dispatch of a tier below `tier` may be preempted. */
    bool preemptibleBelow(core::tier tier) const;
    /**
     * Returns the newest preemptible dispatch of the lowest tier below `tier` for which `fits`
     * returns true; the newest has generated the fewest tokens. Tries a bounded number of
     * dispatches in each tier.
     */
    const record *victimBelow(core::tier tier,
                              const std::function<bool(const record &)> &fits) const;
    void markPreempting(request_ref ref, core::time_point now);
    std::size_t preempting() const noexcept { return m_preempting.size(); }
    /**
     * Returns the preempted dispatches whose order was last sent before `time`, and records `now`
     * as the time of sending.
     */
    std::vector<const record *> preemptOrdersBefore(core::time_point time, core::time_point now);

private:
    using newest_first = std::set<std::pair<core::time_point, request_ref>, std::greater<>>;

    std::unordered_map<request_ref, record> m_records;
    std::set<std::pair<core::time_point, request_ref>> m_byDeadline;
    std::unordered_map<core::incarnation, std::unordered_set<request_ref>> m_byNode;
    std::array<newest_first, core::tierCount> m_preemptible;
    std::array<std::size_t, core::tierCount> m_byTier{};
    std::set<request_ref> m_preempting;
};

} // namespace comfreypass::scheduling
