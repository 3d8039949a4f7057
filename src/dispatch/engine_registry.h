#pragma once

#include "core/time_point.h"
#include "dispatch/engine_entry.h"
#include "dispatch/fleet_share.h"
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

/** Short name of an engine in messages between nodes; equal on all nodes. */
using engine_key = std::uint32_t;

/** Requests of one node that run at one engine. */
struct engine_load
{
    engine_key engine = 0;
    std::uint32_t running = 0;
};

/** How fast an engine works, as one node saw it. */
struct engine_latency
{
    engine_key engine = 0;
    /** Seconds between two events of a stream. */
    double eventIntervalSeconds = 0;
    /** Seconds for each token of a prompt; 0 if unknown. */
    double prefillSecondsPerToken = 0;
};

/** What is asked of the board. */
struct selection_request
{
    std::string_view upstream;
    /** Engines that this request has tried. */
    std::span<const std::string> excluded = {};
    /** Requests for the upstream that peers start between two of their statuses, as expected. */
    double unseenStarts = 0;
    /** Tokens that the engine reads before the first event; 0 if there are none. */
    double promptTokens = 0;
    /** Output tokens that are expected; 0 if unknown. */
    double outputTokens = 0;
    /** Time within which the first event is due; 0 if there is no such time. */
    core::duration objective{};
    /** Time after which the answer is worthless; 0 if there is no such time. */
    core::duration timeLeft{};
    /** Engines that other nodes prefer are left out. */
    bool knownOnly = false;
    /**
     * Requests of peers for each slot, if what peers told is too old for single engines; then each
     * engine is taken to run an equal part of them.
     */
    std::optional<double> peersPerSlot = {};
};

enum class selection_outcome : std::uint8_t {
    Selected,
    /** Engines serve the upstream, but none has room now. */
    NoCapacity,
    /** No engine serves the upstream now. */
    NoEngine,
};

/** Answer of the board. */
struct engine_selection
{
    selection_outcome outcome = selection_outcome::NoEngine;
    /** Valid until the next change of the board. */
    const engine_entry *engine = nullptr;
    /** Load that decided, with the age that the exchange between nodes gives it. */
    std::uint32_t ownRunning = 0;
    std::uint32_t peersRunning = 0;
    bool cold = false;
};

/** How an attempt at an engine ended. */
enum class attempt_result : std::uint8_t {
    Served,
    /** The engine said that it did not run the request because it is full. */
    Rejected,
    /** Another engine has the address now. */
    Misdirected,
    /** Not reachable: no connection. */
    Unreachable,
    /** Broke off, sent garbage or answered with a failure. */
    Failed,
    /** Ended for a reason that says nothing about the engine. */
    Neutral,
};

/**
 * What a node knows of the engines, and where the next request goes.
 *
 * The load of an engine is what this node runs there, which it knows exactly, plus what its peers
 * last told. Of the engines with room it takes the one that is expected to work fastest at its
 * load, among a sample that is the smaller the more the nodes do not see of each other: if all took
 * the best of all engines, they would take the same one until the next status.
 *
 * Where the node prefers some engines, it hears of each change at these at once. It goes to others
 * only when none of its own has room, and then leaves a margin for what it has not heard yet. Not
 * thread-safe.
 */
class engine_registry
{
public:
    /** `domain` is the failure domain of this node; `seed` breaks ties. */
    engine_registry(std::string domain, std::uint32_t seed);
    ~engine_registry() = default;
    engine_registry(engine_registry &&) = default;
    engine_registry &operator=(engine_registry &&) = default;
    engine_registry(const engine_registry &) = delete;
    engine_registry &operator=(const engine_registry &) = delete;

    /** Takes an entry of the list of engines; `settings` may be null if the upstream is unknown. */
    void update(const engine_entry &entry, const upstream_settings *settings, core::time_point now);

    /** The engine has left the list. */
    void remove(std::string_view id);

    /** Gives no more requests to a failure domain, or takes it back. */
    void setEvacuated(std::string_view domain, bool evacuated, core::time_point now);

    /** Takes new settings of the upstreams for the entries that are known. */
    void updateSettings(std::string_view upstream, const upstream_settings &settings);

    /** Replaces what one peer runs at the engines. */
    void setPeerLoads(std::uint32_t peer, std::span<const engine_load> loads);

    /** Replaces what one peer runs at one engine. */
    void setPeerLoad(std::uint32_t peer, const engine_load &load);

    /** A peer found the engine out of order; ignored if it has just served this node. */
    void onPeerEjected(engine_key key, core::time_point now);

    /**
     * Sets the engines of an upstream that this node prefers. `shared` is false if the upstream's
     * engines are not shared out among the nodes, so that all of them are equal.
     */
    void setPreferred(std::string_view upstream, std::span<const engine_key> preferred,
                      bool subsetted);

    /** True if the upstream's engines are shared out among the nodes. */
    bool isSubsetted(std::string_view upstream) const { return m_subsetted.contains(upstream); }

    /** Engines of this node whose own load changed since the last call, with their loads. */
    std::vector<engine_load> takeLoadChanges();

    /** Engines that this node found out of order since the last call. */
    std::vector<engine_key> takeEjected();

    /** True if one of the two calls above would return something. */
    bool hasPendingUpdates() const noexcept
    {
        return !m_changedLoads.empty() || !m_newlyAvoided.empty();
    }

    /** Chooses an engine. Takes a cold engine's permission if it picks one. */
    engine_selection choose(const selection_request &request, const fleet_share &share,
                            core::time_point now);

    /** A request is about to be sent to the engine. */
    void onStart(std::string_view id, core::time_point now);

    /** The request that onStart counted has ended. */
    void onEnd(std::string_view id, attempt_result result, core::time_point now);

    /** Bytes of an answer arrived from the engine. */
    void onBytes(std::string_view id, core::time_point now);

    /** Time between two events of a stream, or of one request for an engine without streams. */
    void onEventInterval(std::string_view id, core::duration time);

    /** Time from the start of a request to its first event, and the tokens read before it. */
    void onFirstEvent(std::string_view id, double promptTokens, core::duration time);

    /** Takes what a peer saw, for engines that this node has not seen enough itself. */
    void onPeerLatencies(std::span<const engine_latency> latencies);

    /** Engines seen since the last call, the latest first; at most `most`. */
    std::vector<engine_latency> takeNewLatencies(std::size_t most);

    /** True if requests may be sent to the engine now. */
    bool usable(std::string_view id, core::time_point now) const;

    /** True if an engine of the upstream other than `id` has room. */
    bool hasCapacityElsewhere(std::string_view upstream, std::string_view id,
                              core::time_point now) const;

    /** Loads of this node, without those that are zero. */
    std::vector<engine_load> ownLoads() const;

    /** Engines of an upstream that are usable, and their free slots as far as this node knows. */
    struct engine_capacity
    {
        std::size_t engines = 0;
        std::uint32_t slots = 0;
        std::uint32_t running = 0;
        /** Requests of peers, also beyond the slots. */
        std::uint32_t peersRunning = 0;
    };
    engine_capacity capacityOf(std::string_view upstream, core::time_point now) const;

    /** The same for the engines that this node prefers. */
    engine_capacity preferredCapacityOf(std::string_view upstream, core::time_point now) const;

    /** Visits the entries of all engines. */
    template<typename Visitor>
    void forEach(Visitor visit) const
    {
        for (const auto &[id, each] : m_engines)
            visit(each.entry, each.key);
    }

    /** Changes whenever an engine comes, goes or moves to another upstream. */
    std::uint64_t membershipVersion() const noexcept { return m_membershipVersion; }

    /** The entry of an engine; nullptr if it is unknown. */
    const engine_entry *find(std::string_view id) const;

    std::size_t size() const noexcept { return m_engines.size(); }

    static engine_key keyOf(std::string_view id) noexcept;

private:
    /** How this node stands to an engine. */
    enum class affinity : std::uint8_t {
        /** The engines of the upstream are not shared out. */
        None,
        Preferred,
        /** Other nodes prefer it, and this node hears of its load late. */
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
        /** Next time at which this node may send to the engine while it is cold. */
        core::time_point nextColdAt{};
        core::time_point avoidUntil{};
        /** Avoided too, but only while most engines of the upstream work. */
        core::time_point suspectUntil{};
        /** Pauses since it last served; each is twice as long as the one before. */
        std::uint32_t pausesInARow = 0;
        core::time_point pausedAt{};
        std::uint32_t failedInARow = 0;
        core::time_point servedAt{};
        double failures = 0;
        core::time_point failuresAt{};
        /** Last byte from the engine, or the start of a request at an engine that ran none. */
        core::time_point heardAt{};
        /** Smoothed pace in seconds; 0 is unknown. */
        double pace = 0;
        /** Smoothed seconds for each token of a prompt; 0 is unknown. */
        double prefillSecondsPerToken = 0;
        /** Answers of which this node saw the pace. */
        std::uint32_t pacesSeen = 0;
        affinity preference = affinity::None;
    };

    bool isUsable(const engine &candidate, core::time_point now) const;
    bool mayUseCold(const engine &candidate, const fleet_share &share, core::time_point now) const;
    void takeCold(engine &target, const fleet_share &share, core::time_point now) const;
    struct candidate
    {
        engine *target;
        double fixedCost;
    };
    static void keepBest(std::vector<candidate> &candidates);
    void keepSample(std::vector<candidate> &candidates, double unseenStarts);
    void keepOneByRoom(std::vector<candidate> &candidates);
    /** `unseenStarts` are those at this engine. */
    static bool hasRoom(const engine &candidate, const selection_request &request,
                        double unseenStarts);
    template<typename Filter>
    engine_capacity sumRoom(std::string_view upstream, core::time_point now, Filter filter) const;
    void noteLoadChange(engine_key key);
    /** Cost that does not depend on the load: times, failures, distance. */
    double fixedCost(const engine &candidate, const selection_request &request, double fastest,
                     core::time_point now) const;
    double loadCost(const engine &candidate, double peersRunning);
    static bool isSilent(const engine &candidate, core::time_point now);
    static double failuresNow(const engine &candidate, core::time_point now);
    static void makeCold(engine &target, core::time_point until);
    /** Length of the next pause of an engine that is out of order. */
    core::duration nextPause(engine &target, core::time_point now);
    static void eraseSuspects(std::vector<engine *> &candidates, core::time_point now);
    const std::vector<engine *> &enginesOf(std::string_view upstream) const;
    engine *findEngine(std::string_view id);

    std::string m_domain;
    std::minstd_rand m_random;
    std::unordered_map<std::string, engine> m_engines;
    /** Into m_engines, whose entries stay where they are. */
    std::map<std::string, std::vector<engine *>, std::less<>> m_byUpstream;
    std::unordered_map<engine_key, std::string> m_idByKey;
    /** Engines whose pace was seen and not told yet. */
    std::vector<std::string> m_newPaces;
    std::set<std::string, std::less<>> m_evacuated;
    /** Upstreams whose engines the nodes share out. */
    std::set<std::string, std::less<>> m_subsetted;
    std::unordered_map<std::uint32_t, std::vector<engine_load>> m_peerLoads;
    /** Sum of m_peerLoads, also for engines that this node does not know yet. */
    std::unordered_map<engine_key, std::uint32_t> m_peersRunning;
    std::vector<engine_key> m_changedLoads;
    std::vector<engine_key> m_newlyAvoided;
    std::uint64_t m_membershipVersion = 0;
    /** Least readSeconds of all engines lately; stands for engines that are not known. */
    double m_minPrefillSecondsPerToken = 0;
};

} // namespace comfreypass::dispatch
