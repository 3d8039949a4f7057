#pragma once

#include "core/ids.h"
#include "core/time_point.h"
#include "dispatch/engine_registry.h"
#include "dispatch/fleet_view.h"
#include "dispatch/wait_queue.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace comfreypass::dispatch {

/** A request that needs an engine. */
struct admission_request
{
    core::request_id id = 0;
    std::string upstream;
    std::uint32_t priority = 0;
    core::time_point objectiveAt{};
    /** It waits no longer than until then. */
    core::time_point queueDeadline{};
    /** Engines that it has tried. */
    std::vector<std::string> excluded = {};
    /** Tokens read before the first event, and the time within which that is due; 0 if unknown. */
    double promptTokens = 0;
    core::duration objective{};
    /** Expected output tokens, 0 if unknown, and when the answer is worthless. */
    double outputTokens = 0;
    core::time_point deadline{};
};

enum class admission_outcome : std::uint8_t { Start, Wait, Refuse };

/** Why a request was refused. */
enum class refusal_cause : std::uint8_t { None, NoEngine, QueueFull, WaitTooLong };

/** Stable lower-case word, for logs. Thread-safe. */
std::string_view toString(refusal_cause cause) noexcept;

struct admission_decision
{
    admission_outcome outcome = admission_outcome::Refuse;
    refusal_cause cause = refusal_cause::None;
    /** Start: the engine; copied, as the board may change. */
    engine_entry engine;
    engine_selection basis;
    /** Refuse: when the caller should come back. */
    core::duration retryAfter{};
    /** Requests that were ahead, and the wait that was expected. */
    std::size_t ahead = 0;
    core::duration expectedWait{};
};

/** A waiting request that may start now. */
struct admission_grant
{
    core::request_id id = 0;
    engine_entry engine;
    engine_selection basis;
};

/** What caused a look at the queue. */
enum class poll_trigger : std::uint8_t {
    /** A request of this node has ended. */
    OwnCompletion,
    /** A peer told its load, the list of engines changed, or time passed. */
    RemoteChange,
};

/**
 * Decides when a request goes to which engine, and which ones wait or are refused.
 *
 * Engines know no priorities and admit in order of arrival, so waiting happens here: a request goes
 * to an engine only while the fleet runs less there than the engine works on at once. A slot that a
 * request of this node frees goes to this node's queue first; of slots that free elsewhere each
 * node takes a part that follows its part of the fleet's queue, so that the nodes do not all rush
 * for one slot. Slots of preferred engines are known almost exactly and are taken by chance within
 * a few looks.
 *
 * Where requests are shorter than the time between two exchanges, what peers told says how busy the
 * upstream is but not which engine has room, so only the upstream as a whole can be full. Not
 * thread-safe.
 */
class admission
{
public:
    /** The board and the view must outlive the object. */
    admission(engine_registry &registry, const fleet_view &fleet, std::uint32_t seed);

    /** Tells how old the loads of peers are on average. */
    void setLoadAge(core::duration age) { m_loadAge = age; }

    /**
     * The peers have told their loads anew. Between two calls this node takes its part of the slots
     * that look free elsewhere only once, however often it polls.
     */
    void onPeerLoadsUpdated() { ++m_peerLoadGeneration; }

    /** Decides on a new request, or on one that must go to another engine. */
    admission_decision submit(const admission_request &request, core::time_point now);

    /** Requests of an upstream that may start now. */
    std::vector<admission_grant> poll(const std::string &upstream, poll_trigger trigger,
                                      core::time_point now);

    /** Removes and returns requests that have waited too long. */
    std::vector<core::request_id> takeExpired(core::time_point now);

    /** The request no longer waits. */
    void cancel(core::request_id id);

    /** A request that was started has ended at the engine after `ran`; zero if that is unknown. */
    void onEnd(const std::string &upstream, std::string_view engineId, attempt_result result,
               core::duration ran, core::time_point now);

    /** The first event of a request, or its whole answer, came after `time` at the engine. */
    void onFirstEvent(const std::string &upstream, std::uint32_t priority, core::duration time);

    /** When a caller that is refused now should come back. */
    core::duration retryAfter(const std::string &upstream, core::time_point now);

    /** Upstreams with waiting requests. */
    std::vector<node_status::queue_length> queues() const;

    std::size_t waiting() const noexcept { return m_requests.size(); }

private:
    struct pool
    {
        wait_queue queue;
        /** Smoothed number of ends per second at this node. */
        double endsPerSecond = 0;
        core::time_point endsAt{};
        /** Smoothed time that an engine works on a request; 0 is unknown. */
        double serviceSeconds = 0;
        /** Smoothed time to the first event, in seconds, by priority. */
        std::unordered_map<std::uint32_t, double> firstSeconds;
        /** Smoothed number of requests that peers run for each slot. */
        double peersPerSlot = 0;
        core::time_point peersAt{};
        /** Smoothed number of starts per second at this node. */
        double startsPerSecond = 0;
        core::time_point startsAt{};
        /** Slots elsewhere that may still be taken, and the news that they follow from. */
        std::size_t allowance = 0;
        std::uint64_t allowanceOf = 0;
        core::time_point allowanceAt{};
    };

    /** Last moment at which the request may start and still meet its objective, as expected. */
    static core::time_point latestStart(const admission_request &request, const pool &state);
    bool mustWait(const admission_request &request, const pool &state, core::time_point now) const;
    /** True if most of the running requests that peers told have ended since. */
    bool endsBetweenExchanges(const pool &state) const;
    core::duration expectedWait(const std::string &upstream, std::size_t ahead,
                                core::time_point now);
    void renewAllowance(const std::string &upstream, pool &state, const admission_request &next,
                        core::time_point now);
    /** `Known` leaves out the engines whose load this node hears late. */
    enum class engine_choice : std::uint8_t { Any, Known };
    engine_selection chooseWithin(pool &state, const admission_request &request,
                                  core::time_point now);
    std::optional<double> peersPerSlot(pool &state, const std::string &upstream,
                                       core::time_point now);
    engine_selection choose(pool &state, const admission_request &request, engine_choice engines,
                            core::time_point now);
    /** Starts at most `most` waiting requests; returns their number. */
    std::size_t grant(pool &state, std::size_t most, engine_choice engines,
                      std::vector<admission_grant> &grants, core::time_point now);
    std::size_t drawPreferred(const std::string &upstream, core::time_point now);
    static double decayed(double rate, core::time_point since, core::time_point now);
    static void count(double &rate, core::time_point &since, core::time_point now);

    engine_registry &m_registry;
    const fleet_view &m_fleet;
    std::minstd_rand m_random;
    core::duration m_loadAge{};
    std::uint64_t m_peerLoadGeneration = 1;
    std::unordered_map<std::string, pool> m_pools;
    std::unordered_map<core::request_id, admission_request> m_requests;
};

} // namespace comfreypass::dispatch
