#pragma once

#include "core/ids.h"
#include "core/time_point.h"
#include "dispatch/engine_entry.h"
#include "dispatch/engine_fit.h"
#include "dispatch/engine_load.h"
#include "dispatch/engine_statement.h"
#include "dispatch/fleet_share.h"
#include "dispatch/prefill_backlog.h"
#include "dispatch/upstream_pause.h"
#include "dispatch/upstream_settings.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace comfreypass::dispatch {

/** Engine latency as one node measured it. */
struct engine_latency
{
    engine_key engine = 0;
    /** Seconds between two events of a stream. */
    double eventIntervalSeconds = 0;
    /** Seconds per prompt token; 0 if unknown. */
    double prefillSecondsPerToken = 0;
};

/** Free slots of an engine that this node prefers. */
struct preferred_slots
{
    engine_key engine = 0;
    /** Id of the engine; valid until the registry changes. */
    const std::string *id = nullptr;
    std::uint32_t free = 0;
};

/** Input of an engine selection. */
struct selection_request
{
    std::string_view upstream;
    /** Ids of engines that this request has already tried. */
    std::span<const std::string> excluded = {};
    /** Expected number of requests that peers start at the upstream between two status reports. */
    double unreportedStarts = 0;
    /** Prompt tokens to prefill before the first event; 0 if there are none. */
    double promptTokens = 0;
    /** Expected output tokens; 0 if unknown. */
    double outputTokens = 0;
    /** Latency objective of the first event; 0 if there is none. */
    core::duration objective{};
    /** Time until the deadline of the response; 0 if there is none. */
    core::duration timeLeft{};
    /** Excludes stalled engines, even if all are; else they are then selected. */
    bool responsiveOnly = false;
    /** Excludes engines that other nodes prefer, because their load is known only with a delay. */
    bool freshLoadOnly = false;
    /**
     * Peer requests per slot, set if the reported loads are too old for single engines. Every
     * engine is then assumed to run an equal share of them.
     */
    std::optional<double> peerRequestsPerSlot = {};
    /** The nodes coordinate the requests of the upstream; see scheduling_settings. */
    bool coordinated = false;
    /** Time until the objective; only used if coordinated. Negative if it has been missed. */
    core::duration objectiveLeft{};
};

enum class selection_outcome : std::uint8_t {
    Selected,
    /** Engines serve the upstream, but none has free capacity. */
    NoCapacity,
    /** No engine serves the upstream. */
    NoEngine,
};

/** Result of an engine selection. */
struct engine_selection
{
    selection_outcome outcome = selection_outcome::NoEngine;
    /** Valid until the registry changes. */
    const engine_entry *engine = nullptr;
    /** Loads that the decision is based on; peer loads are as old as the last report. */
    std::uint32_t ownRunning = 0;
    std::uint32_t peersRunning = 0;
    bool cold = false;
    /**
     * NoCapacity although slots are free: the objective would be missed at their engines, but can
     * be met at one that is full now. A less urgent request may take the slots.
     */
    bool waitsForFasterEngine = false;
};

/** How an attempt at an engine ended. */
enum class attempt_result : std::uint8_t {
    Served,
    /** The engine is full and states that it did not run the request. */
    Rejected,
    /** Another engine uses the address now. */
    Misdirected,
    /** The connection failed. */
    Unreachable,
    /** The response was cut off, malformed or an error. */
    Failed,
    /** Ended for a reason that is unrelated to the engine. */
    Neutral,
};

/**
 * Tracks the state of the engines and selects one for each request.
 *
 * The load of an engine is the number of requests that this node runs there, which is exact, plus
 * the last reports of the peers. Among the engines with free capacity, the one with the lowest
 * expected latency at its load is selected from a random sample. The sample shrinks as more starts
 * of other nodes are unreported: if every node selected the best of all engines, all would select
 * the same one until the next status.
 *
 * A node receives load changes of its preferred engines immediately. It selects other engines only
 * if no preferred one has free capacity, and then keeps a margin for unreported starts. Not
 * thread-safe.
 */
class engine_registry
{
public:
    /** `domain` is the failure domain of this node; `seed` seeds the random choices. */
    engine_registry(std::string domain, std::uint32_t seed);
    ~engine_registry() = default;
    engine_registry(engine_registry &&) = default;
    engine_registry &operator=(engine_registry &&) = default;
    engine_registry(const engine_registry &) = delete;
    engine_registry &operator=(const engine_registry &) = delete;

    /** Adds or updates an engine; `settings` is null if the upstream is unknown. */
    void update(const engine_entry &entry, const upstream_settings *settings, core::time_point now);

    /** Removes an engine that left the list; its running requests count again if it is back. */
    void remove(std::string_view id);

    /** Excludes the engines of a failure domain from selection, or includes them again. */
    void setEvacuated(std::string_view domain, bool evacuated, core::time_point now);

    /** Applies new settings of an upstream to its known engines. */
    void updateSettings(std::string_view upstream, const upstream_settings &settings);

    /** Replaces the loads of one peer at all engines. */
    void setPeerLoads(std::uint32_t peer, std::span<const engine_load> loads);

    /** Replaces the load of one peer at one engine. */
    void setPeerLoad(std::uint32_t peer, const engine_load &load);

    /**
     * Excludes an engine that stated in a response that it is leaving. `sender` is its entry at the
     * start of the request. The exclusion ends when an entry shows a later start of the engine; it
     * outlives the entry if that states a start time. Returns false if it is known already, or if
     * an earlier process of the engine sent the response.
     */
    bool onLeaving(const engine_entry &sender, core::time_point now);

    /**
     * Excludes an engine that asked for a pause of this node, until the pause ends; then it gets
     * its slots back gradually. `sender` is as for onLeaving(), and the pause ends early in the
     * same way. Returns the time for which it is excluded, which is bounded; zero if the pause is
     * empty, changes little, or was requested by an earlier process of the engine.
     */
    core::duration onPauseRequested(const engine_entry &sender, core::duration pause,
                                    core::time_point now);

    /**
     * Records that an engine asked for a pause of an invalid length, which has no effect. Returns
     * true for the first one of its process.
     */
    bool onInvalidPause(const engine_entry &sender, core::time_point now);

    /** Returns the number of listed engines that are paused. */
    std::size_t pausedCount(core::time_point now) const noexcept;

    /**
     * Returns when the engines of an upstream return if none is usable and one at least is paused;
     * nothing otherwise.
     */
    std::optional<upstream_pause> pauseOf(std::string_view upstream, core::time_point now) const;

    /** Returns the free slots of the engines whose pause has just ended. */
    std::uint32_t recoveringSlots(std::string_view upstream, core::time_point now) const;

    /** Returns the number of listed engines that stated that they are leaving. */
    std::size_t leavingCount() const noexcept;

    /** Returns the number of listed engines of an upstream, usable or not. */
    std::size_t engineCount(std::string_view upstream) const;

    /** Returns true if engines serve the upstream and all of them are leaving. */
    bool areAllLeaving(std::string_view upstream) const;

    /** Marks an engine degraded that a peer ejected, unless it has just served this node. */
    void onPeerEjected(engine_key key, core::time_point now);

    /**
     * Sets the engines of an upstream that this node prefers. `subsetted` is false if the engines
     * are not subsetted among the nodes; then none is preferred to another.
     */
    void setPreferred(std::string_view upstream, std::span<const engine_key> preferred,
                      bool subsetted);

    /** Returns true if the engines of the upstream are subsetted among the nodes. */
    bool isSubsetted(std::string_view upstream) const { return m_subsetted.contains(upstream); }

    /** Returns and clears the changes of this node's own loads since the last call. */
    std::vector<engine_load> takeLoadChanges();

    /** Returns and clears the engines that this node ejected since the last call. */
    std::vector<engine_key> takeEjected();

    /** Returns true if takeLoadChanges() or takeEjected() would return a non-empty list. */
    bool hasPendingUpdates() const noexcept
    {
        return !m_changedLoads.empty() || !m_newlyEjected.empty();
    }

    /** Selects an engine. A selected cold engine is charged for the request. */
    engine_selection choose(const selection_request &request, const fleet_share &share,
                            core::time_point now);

    /** Counts a request that is about to be sent to the engine. */
    void onStart(std::string_view id, core::time_point now);

    /**
     * Records that the engine reads the prompt of a request counted by onStart(), which belongs to
     * a coordinated upstream.
     */
    void onPromptStart(std::string_view id, const pending_prompt &prompt);

    /**
     * Records the first event of such a request, and learns the speed of the engine from it. Must
     * be called instead of onFirstEvent(). Returns the error of the predicted time to it, actual
     * minus predicted; nothing if the prompt is unknown.
     */
    std::optional<core::duration> onPromptRead(std::string_view id, core::request_id request,
                                               core::time_point now);

    /** Records that such a request has ended; no effect after its first event. */
    void onPromptEnd(std::string_view id, core::request_id request);

    /** Returns the prompt tokens of this node's requests that wait for their first event. */
    double pendingPromptTokens() const { return m_backlog.ownTokens(); }

    /** Ends a request counted by onStart() and records its result. */
    void onEnd(std::string_view id, attempt_result result, core::time_point now);

    /** Records that the engine refuses connections, apart from any request. */
    void onUnreachable(std::string_view id, core::time_point now);

    /** Records that response bytes arrived from the engine. */
    void onBytes(std::string_view id, core::time_point now);

    /** Returns true if response bytes arrived from the engine later than `since`. */
    bool hasSentSince(std::string_view id, core::time_point since) const;

    /** Records the time between two stream events, or of a whole request without streaming. */
    void onEventInterval(std::string_view id, core::duration time);

    /** Records the time to the first event of a request with `promptTokens` tokens to prefill. */
    void onFirstEvent(std::string_view id, double promptTokens, core::duration time);

    /** Applies latencies that a peer measured, for engines with few observations of this node. */
    void onPeerLatencies(std::span<const engine_latency> latencies);

    /** Returns and clears up to `maxCount` latencies measured since the last call, latest first. */
    std::vector<engine_latency> takeNewLatencies(std::size_t maxCount);

    /** Returns true if requests may be sent to the engine. */
    bool isUsable(std::string_view id, core::time_point now) const;

    /** Returns the non-zero loads of this node. */
    std::vector<engine_load> ownLoads() const;

    /** Usable engines of an upstream, their slots and their load as known to this node. */
    struct engine_capacity
    {
        std::size_t engines = 0;
        std::uint32_t slots = 0;
        std::uint32_t running = 0;
        /** Requests of peers, including those that exceed the slots. */
        std::uint32_t peersRunning = 0;
    };
    engine_capacity capacityOf(std::string_view upstream, core::time_point now) const;

    /** Like capacityOf(), for the engines that this node prefers. */
    engine_capacity preferredCapacityOf(std::string_view upstream, core::time_point now) const;

    /** Returns the usable engines of an upstream that this node prefers, full ones included. */
    std::vector<preferred_slots> preferredSlots(std::string_view upstream,
                                                core::time_point now) const;

    /** Visits the entries of all engines. */
    template<typename Visitor>
    void forEach(Visitor visit) const
    {
        for (const auto &[id, each] : m_engines)
            visit(each.entry, each.key);
    }

    /** Increases when an engine is added, removed or moved to another upstream. */
    std::uint64_t membershipVersion() const noexcept { return m_membershipVersion; }

    /** Returns the entry of an engine; nullptr if it is unknown. */
    const engine_entry *find(std::string_view id) const;

    std::size_t size() const noexcept { return m_engines.size(); }

    static engine_key keyOf(std::string_view id) noexcept;

private:
    /** Relation of this node to an engine. */
    enum class affinity : std::uint8_t {
        /** The engines of the upstream are not subsetted. */
        None,
        Preferred,
        /** Other nodes prefer it; this node learns its load with a delay. */
        Other,
    };

    struct engine
    {
        engine_entry entry;
        engine_key key = 0;
        std::uint32_t running = 0;
        std::uint32_t peersRunning = 0;
        double coldRate = 0;
        double tokensPerEvent = 1;
        core::duration coldTime{};
        core::time_point coldUntil{};
        /** Earliest time of the next request of this node while the engine is cold. */
        core::time_point nextColdAt{};
        core::time_point ejectedUntil{};
        /** Excluded until then, but only while most engines of the upstream are healthy. */
        core::time_point degradedUntil{};
        /** Ejections since the last served request; the duration doubles with each. */
        std::uint32_t consecutiveEjections = 0;
        core::time_point lastEjectedAt{};
        std::uint32_t consecutiveFailures = 0;
        core::time_point lastServedAt{};
        double recentFailures = 0;
        core::time_point recentFailuresAt{};
        /** Time of the last response byte, or of a start while the engine ran no other request. */
        core::time_point lastActivityAt{};
        /** Time of the last response byte. */
        core::time_point lastBytesAt{};
        /** Smoothed; 0 if unknown. */
        double eventIntervalSeconds = 0;
        /** Smoothed; 0 if unknown. */
        double prefillSecondsPerToken = 0;
        /** Event intervals that this node measured itself. */
        std::uint32_t eventIntervalCount = 0;
        affinity preference = affinity::None;
        engine_statement statement;
    };

    /** Returns the statement to change; nullptr if it is not that of the sender's process. */
    engine_statement *statementOf(const engine_entry &sender);
    void restoreStatement(engine &target);
    engine_statement &keptStatement(const std::string &id);
    bool isExcluded(const engine &candidate) const;
    /** Returns the slots that may be used; fewer than those of the entry after a pause. */
    static std::uint32_t usableSlots(const engine &candidate, core::time_point now);
    bool isUsable(const engine &candidate, core::time_point now) const;
    bool allowsColdRequest(const engine &candidate, const fleet_share &share,
                           core::time_point now) const;
    void reserveColdRequest(engine &target, const fleet_share &share, core::time_point now) const;
    struct candidate
    {
        engine *target;
        double fixedCost;
    };
    static void keepLowestFixedCost(std::vector<candidate> &candidates);
    void keepSample(std::vector<candidate> &candidates, double unreportedStarts);
    void keepOneByFreeSlots(std::vector<candidate> &candidates);
    /** `unreportedStarts` is the expected number at this engine. */
    static bool hasFreeCapacity(const engine &candidate, const selection_request &request,
                                double unreportedStarts, core::time_point now);
    template<typename Filter>
    engine_capacity sumCapacity(std::string_view upstream, core::time_point now,
                                Filter filter) const;
    void recordLoadChange(engine_key key);
    /** Returns the cost that does not depend on the load: latency, failures, failure domain. */
    double fixedCost(const engine &candidate, const selection_request &request, double fastest,
                     core::time_point now) const;
    /** Like fixedCost(), for a request of a coordinated upstream. */
    double coordinatedCost(const engine &candidate, const selection_request &request,
                           double fastest, core::time_point now) const;
    /** Returns the cost of recent failures and of another failure domain. */
    double placementCost(const engine &candidate, core::time_point now) const;
    engine_speed speedOf(const engine &candidate, double fastest) const;
    /** Returns true if the request should wait for one of `usable` instead of taking `free`. */
    bool shouldWaitForFasterEngine(std::span<engine *const> usable, std::span<engine *const> free,
                                   const selection_request &request, double fastest,
                                   core::time_point now) const;
    void learnPrefill(engine &target, double secondsPerToken, double weight);
    double loadCost(const engine &candidate, double peersRunning);
    static bool isStalled(const engine &candidate, core::time_point now);
    static double decayedFailures(const engine &candidate, core::time_point now);
    static void makeCold(engine &target, core::time_point until);
    /** Excludes an engine that refuses connections for a while. */
    void eject(engine &target, core::time_point now);
    /** Records an ejection and returns its duration. */
    core::duration nextEjectionDuration(engine &target, core::time_point now);
    static void eraseDegraded(std::vector<engine *> &candidates, core::time_point now);
    const std::vector<engine *> &enginesOf(std::string_view upstream) const;
    engine *findEngine(std::string_view id);
    engine *engineOfKey(engine_key key);
    void addPeersRunning(engine_key key, std::uint32_t count);
    /** Precondition: at least `count` requests of peers run at the engine. */
    void subtractPeersRunning(engine_key key, std::uint32_t count);

    std::string m_domain;
    std::minstd_rand m_random;
    std::unordered_map<std::string, engine> m_engines;
    /** Running requests of this node at engines that left the list; never contains zeros. */
    std::unordered_map<std::string, std::uint32_t> m_unlistedRunning;
    /** Points into m_engines, whose entries have stable addresses. */
    std::map<std::string, std::vector<engine *>, std::less<>> m_byUpstream;
    std::unordered_map<engine_key, std::string> m_idByKey;
    /** Engines with a new event interval that is not reported yet. */
    std::vector<std::string> m_newLatencies;
    std::set<std::string, std::less<>> m_evacuated;
    /** Upstreams whose engines are subsetted among the nodes. */
    std::set<std::string, std::less<>> m_subsetted;
    std::unordered_map<std::uint32_t, std::vector<engine_load>> m_peerLoads;
    /** Sum of m_peerLoads, including engines that this node does not know yet. */
    std::unordered_map<engine_key, std::uint32_t> m_peersRunning;
    /** Statements of engines whose entry was removed; it may return while the process runs. */
    std::map<std::string, engine_statement> m_keptStatements;
    prefill_backlog m_backlog;
    std::vector<engine_key> m_changedLoads;
    std::vector<engine_key> m_newlyEjected;
    std::uint64_t m_membershipVersion = 0;
    /** Lowest value of all engines so far; the default for engines without a measurement. */
    double m_minPrefillSecondsPerToken = 0;
};

} // namespace comfreypass::dispatch
