#pragma once

#include "core/ids.h"
#include "core/time_point.h"
#include "dispatch/engine_registry.h"
#include "dispatch/fleet_view.h"
#include "dispatch/retry_schedule.h"
#include "dispatch/service_share.h"
#include "dispatch/slot_handover.h"
#include "dispatch/wait_forecast.h"
#include "dispatch/wait_queue.h"

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
#include <utility>
#include <vector>

namespace comfreypass::dispatch {

/** A request to be assigned to an engine. */
struct admission_request
{
    core::request_id id = 0;
    std::string upstream;
    std::uint32_t priority = 0;
    core::time_point objectiveAt{};
    /** Latest time until which the request may be queued. */
    core::time_point queueDeadline{};
    /** Ids of engines that the request has already tried. */
    std::vector<std::string> excluded = {};
    /** Prompt tokens, and the latency objective of the first event; 0 if unknown. */
    double promptTokens = 0;
    core::duration objective{};
    /** Expected output tokens, 0 if unknown, and the deadline of the response. */
    double outputTokens = 0;
    core::time_point deadline{};
    /**
     * The request runs at an engine that it wants to leave. It gets no engine that is silent, too,
     * and new requests may overtake it.
     */
    bool isRunning = false;
    /** The request has been sent to an engine before, so the forecast does not refuse it. */
    bool isRepeated = false;

    /** Returns true if no engine has seen the request. */
    bool isNew() const noexcept { return !isRepeated && !restrictsEngines(); }

    /** Returns true if another request may start at an engine that this one does not accept. */
    bool restrictsEngines() const noexcept { return isRunning || !excluded.empty(); }
};

enum class admission_outcome : std::uint8_t { Start, Wait, Refuse };

/** Reason for a refusal. */
enum class refusal_cause : std::uint8_t {
    None,
    NoEngine,
    QueueFull,
    WaitTooLong,
    EnginesLeaving,
    EnginesPaused,
    /** As WaitTooLong, by the forecast of a coordinated upstream. */
    Forecast
};

/** Returns the stable name in logs. Thread-safe. */
std::string_view toString(refusal_cause cause) noexcept;

struct admission_decision
{
    admission_outcome outcome = admission_outcome::Refuse;
    refusal_cause cause = refusal_cause::None;
    /** Start: a copy of the engine's entry, as the registry may change. */
    engine_entry engine;
    engine_selection basis;
    /** Refuse: delay after which the caller should retry. */
    core::duration retryAfter{};
    /** Number of requests ahead in the queue, and the expected wait. */
    std::size_t ahead = 0;
    core::duration expectedWait{};
};

/** A queued request that may start. */
struct admission_grant
{
    core::request_id id = 0;
    engine_entry engine;
    engine_selection basis;
};

/** Event that caused a poll of the queue. */
enum class poll_trigger : std::uint8_t {
    /** A request of this node completed. */
    OwnCompletion,
    /** A peer reported its load, the list of engines changed, or a timer expired. */
    RemoteChange,
    /**
     * A peer that shares an engine reported its load or its queue. Only slots that no peer claims
     * are granted, since the other peers receive the report at the same time.
     */
    PeerUpdate,
};

/**
 * Decides which requests start at which engine and which are queued or refused.
 *
 * Engines do not support priorities and process requests in order of arrival, so requests are
 * queued here: a request starts at an engine only while the fleet runs fewer requests there than
 * the engine has slots. A slot freed by a request of this node is offered to the queue of this node
 * first. Of the slots freed elsewhere, each node acquires a share proportional to its share of the
 * queued requests of the fleet, so that the nodes do not all compete for one slot. The free slots
 * of preferred engines are known almost exactly and are acquired with a fixed probability per poll.
 * At a coordinated upstream, they are left to peers that queue more urgent requests, and acquired
 * at once if no peer queues one that is as urgent; see slot_handover.
 *
 * If requests are shorter than the interval between two status messages, peer loads show how busy
 * the upstream is but not which engine has free capacity, so only the upstream as a whole is
 * treated as full. Not thread-safe.
 */
class admission
{
public:
    /** The registry and the view must outlive the object. */
    admission(engine_registry &registry, const fleet_view &fleet, std::uint32_t seed);

    /** Sets the average age of the peer loads. */
    void setLoadAge(core::duration age) { m_loadAge = age; }

    /**
     * Records that the peers reported new loads. Between two calls, this node acquires its share of
     * the slots that are free elsewhere only once, however often it polls.
     */
    void onPeerLoadsUpdated() { ++m_peerLoadGeneration; }

    /** Sets the upstreams whose requests the nodes coordinate; see scheduling_settings. */
    void setCoordinated(std::set<std::string, std::less<>> upstreams);

    bool isCoordinated(std::string_view upstream) const { return m_coordinated.contains(upstream); }

    /** Sets the other nodes that prefer each engine that the node `self`, this one, prefers. */
    void setPeersOfPreferredEngines(std::uint32_t self, engine_affinity peers)
    {
        m_handover.setPeers(self, std::move(peers));
    }

    /** Applies the reports of a peer on the queues of coordinated upstreams. */
    void onPeerQueues(std::uint32_t peer, std::span<const node_status::queue_length> queues,
                      core::time_point now);

    /** Applies the queues in a status of a peer to the coordinated upstreams. */
    void onPeerStatus(std::uint32_t peer, std::span<const node_status::queue_length> queues,
                      core::time_point now);

    /** Drops the reports of an unreachable peer. */
    void onPeerUnreachable(std::uint32_t peer) { m_handover.removePeer(peer); }

    /** Returns true if takeQueueReports() would return a non-empty list. */
    bool hasQueueReports(core::time_point now) const;

    /**
     * Returns the highest priority and the number of its requests for the queues of coordinated
     * upstreams in which these have changed since the last call, or were last reported some time
     * ago; a count of zero for a queue that is empty now.
     */
    std::vector<node_status::queue_length> takeQueueReports(core::time_point now);

    const slot_handover &handover() const noexcept { return m_handover; }

    /** Decides on a new request, or on a retry at another engine. */
    admission_decision submit(const admission_request &request, core::time_point now);

    /** Returns the queued requests of an upstream that may start, and counts them as started. */
    std::vector<admission_grant> poll(const std::string &upstream, poll_trigger trigger,
                                      core::time_point now);

    /**
     * Removes and returns the requests whose queue deadline has passed, or passes while all engines
     * are paused.
     */
    std::vector<core::request_id> takeExpired(core::time_point now);

    /** Removes a request from the queue. */
    void cancel(core::request_id id);

    /** Records that a started request ended; `serviceTime` is zero if unknown. */
    void onEnd(const std::string &upstream, std::string_view engineId, attempt_result result,
               core::duration serviceTime, core::time_point now);

    /** Records the time at the engine until the first event or, without events, the response. */
    void onFirstEvent(const std::string &upstream, std::uint32_t priority, core::duration time);

    /**
     * Returns the delay after which a caller that is refused now should retry. If all engines are
     * paused, the callers return one after another when the first engine does, by priority. Those
     * of a coordinated upstream are spread over a third of the time until their deadline, if known.
     */
    core::duration retryAfter(const std::string &upstream, std::uint32_t priority,
                              core::time_point now,
                              std::optional<core::time_point> deadline = std::nullopt);

    /** Returns why no engine of the upstream accepts requests; `None` if one does or is full. */
    refusal_cause exclusionCause(const std::string &upstream, core::time_point now) const;

    /** Returns the queue lengths of the upstreams with queued requests. */
    std::vector<node_status::queue_length> queues() const;

    std::size_t queuedCount() const noexcept { return m_requests.size(); }

private:
    struct upstream_state
    {
        wait_queue queue;
        /** Smoothed completion rate of this node. */
        double completionsPerSecond = 0;
        core::time_point completionsUpdatedAt{};
        /** Smoothed time that an engine processes a request; 0 if unknown. */
        double serviceSeconds = 0;
        /** Smoothed time to the first event, by priority. */
        std::unordered_map<std::uint32_t, double> firstEventSeconds;
        /** Smoothed number of peer requests per slot. */
        double peerRequestsPerSlot = 0;
        core::time_point peerRequestsUpdatedAt{};
        /** Smoothed start rate of this node. */
        double startsPerSecond = 0;
        core::time_point startsUpdatedAt{};
        /** Slots freed elsewhere that may still be acquired, and the generation of peer loads. */
        std::size_t allowance = 0;
        std::uint64_t allowanceGeneration = 0;
        core::time_point allowanceUpdatedAt{};
        /** End of the last pause of all engines, and the callers refused in it, by priority. */
        core::time_point pauseEndsAt{};
        std::map<std::uint32_t, std::size_t> refusedInPause;
        /** Of coordinated upstreams only. */
        wait_forecast forecast;
        retry_schedule returns;
        service_share shares;
        /** Engine at which a request of this node ended last. */
        std::string freedEngine;
    };

    /** What the peers were last told about the queue of a coordinated upstream. */
    struct reported_queue
    {
        std::uint32_t count = 0;
        std::uint32_t priority = 0;
        core::time_point at{};
        /** Time of the first of the last reports with the same priority. */
        core::time_point prioritySince{};
    };
    /** Returns true if the peers know that this node has a request with this priority. */
    bool isKnownToPeers(const admission_request &request, core::time_point now) const;
    reported_queue currentQueue(std::string_view upstream, core::time_point now) const;
    static bool mustReport(const reported_queue &last, const reported_queue &current);

    /** The event that lets a request of a coordinated upstream take a slot. */
    enum class slot_event : std::uint8_t { Arrival, Completion, Tick, PeerUpdate };
    /**
     * Returns true if the request may not take a free slot of a preferred engine. New requests do
     * not take slots that a queued one is about to take, and equally urgent nodes draw.
     */
    bool mustLeave(slot_claim claim, slot_event event, bool isFreedEngine, bool isKnown);
    /** Returns the engines that the request has tried or must leave to requests of peers. */
    std::vector<std::string> excludedEngines(const admission_request &request, slot_event event,
                                             std::string_view freedEngine, core::time_point now);

    /** Returns the priority with which the request competes for a slot now. */
    std::uint32_t effectivePriority(const admission_request &request, const upstream_state &state,
                                    core::time_point now) const;
    /** Returns the ids of the queued requests in the order in which slots are offered to them. */
    std::vector<core::request_id> inOrder(const upstream_state &state, core::time_point now) const;
    /** Returns the number of queued requests that a new one may not overtake. */
    std::size_t queuedAhead(const admission_request &request, const upstream_state &state,
                            core::time_point now) const;
    void onGranted(const admission_request &request, upstream_state &state, core::time_point now);
    /** Returns why the request cannot be queued; `None` if it can. */
    refusal_cause causeToRefuse(const admission_request &request, upstream_state &state,
                                const admission_decision &decision, core::time_point now) const;
    /** Refuses a request that is not expected to start before its queue deadline. */
    refusal_cause causeByWait(const admission_request &request, upstream_state &state,
                              const admission_decision &decision, core::time_point now) const;
    /** Returns the latest start time with which the request is expected to meet its objective. */
    static core::time_point latestStart(const admission_request &request,
                                        const upstream_state &state);
    /** Removes the requests that are no longer expected to start before their queue deadline. */
    void takeHopeless(upstream_state &state, std::vector<core::request_id> &hopeless,
                      core::time_point now);
    bool mustWait(const admission_request &request, const upstream_state &state,
                  core::time_point now) const;
    /** Returns true if most requests reported by peers have completed since the report. */
    bool completesBetweenUpdates(const upstream_state &state) const;
    core::duration expectedWait(const std::string &upstream, std::size_t ahead,
                                core::time_point now);
    /** Returns this node's share of free slots, by its share of the fleet's queue. */
    std::size_t shareOf(double freeSlots, const std::string &upstream, const upstream_state &state,
                        const admission_request &next, core::time_point now);
    core::duration retryAfterPause(upstream_state &state, const upstream_pause &pause,
                                   std::uint32_t priority, core::time_point now);
    void updateAllowance(const std::string &upstream, upstream_state &state,
                         const admission_request &next, core::time_point now);
    /** `FreshLoad` excludes the engines whose load this node learns with a delay. */
    enum class engine_choice : std::uint8_t { Any, FreshLoad };
    engine_selection chooseWithinAllowance(upstream_state &state, const admission_request &request,
                                           core::time_point now);
    std::optional<double> peerRequestsPerSlot(upstream_state &state, const std::string &upstream,
                                              core::time_point now);
    engine_selection choose(upstream_state &state, const admission_request &request,
                            engine_choice engines, core::time_point now,
                            slot_event event = slot_event::Completion);
    /** Starts up to `maxGrants` queued requests and returns their number. */
    std::size_t grant(upstream_state &state, std::size_t maxGrants, engine_choice engines,
                      std::vector<admission_grant> &grants, core::time_point now,
                      slot_event event = slot_event::Completion);
    /** Counts the request at the engine, and its prompt if the upstream is coordinated. */
    void recordStart(const admission_request &request, const std::string &engineId,
                     core::time_point now);
    std::size_t drawPreferredSlots(const std::string &upstream, core::time_point now);
    static double decayed(double rate, core::time_point since, core::time_point now);
    static void recordEvent(double &rate, core::time_point &since, core::time_point now);

    engine_registry &m_registry;
    const fleet_view &m_fleet;
    std::minstd_rand m_random;
    core::duration m_loadAge{};
    std::set<std::string, std::less<>> m_coordinated;
    slot_handover m_handover;
    std::map<std::string, reported_queue, std::less<>> m_reportedQueues;
    std::uint64_t m_peerLoadGeneration = 1;
    std::unordered_map<std::string, upstream_state> m_upstreams;
    std::unordered_map<core::request_id, admission_request> m_requests;
};

} // namespace comfreypass::dispatch
