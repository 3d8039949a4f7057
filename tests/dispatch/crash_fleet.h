#pragma once

#include "core/time_point.h"
#include "dispatch/request_quarantine.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <vector>

namespace comfreypass::dispatch {

/** Load of a crash_fleet, as rates of the whole fleet per minute unless stated otherwise. */
struct crash_load
{
    std::size_t nodes = 8;
    std::size_t engines = 12;
    double soundPerSecond = 0;
    /** Engines that crash by themselves. */
    double ownCrashesPerMinute = 0;
    /** One request that crashes engines, and its repeats by callers. */
    double deadlyRequestsPerMinute = 0;
    /** Requests, no two alike, with one segment that crashes engines. */
    double deadlySegmentsPerMinute = 0;
    /** Index of the deadly segment among those that its requests share with sound ones; if there is
     * none, it stands in place of their subject. */
    std::optional<std::size_t> deadlyPosition = {};
    /** Segments of which each request has one. */
    std::size_t subjects = 60;
    core::duration length = std::chrono::minutes(2);
};

/** What happened in a crash_fleet. */
struct crash_fleet_result
{
    std::size_t sound = 0;
    std::size_t soundRefused = 0;
    /** Engines that requests have ended. */
    std::size_t enginesEnded = 0;
    /** Attempts with the request, or the segment, later than `lateAfter` after the crash from which
     * it should be known: the third, or the fifth. */
    std::size_t lateRequests = 0;
    std::size_t lateSegments = 0;
    /** Time from the first crash to the last attempt; zero without one. */
    core::duration requestReached{};
    core::duration segmentReached{};
};

/**
 * A fleet of nodes on virtual time that share a quarantine by messages. Engines run a request for
 * 300 ms with the first event after 60 ms; a crash ends all requests of the engine, which is back
 * after 3 s. Each attempt that crashed is repeated once at another engine. The nodes that saw the
 * crash find the engine down by a probe, which they report, and others if they select it. Not
 * thread-safe.
 */
class crash_fleet
{
public:
    /** Time after which a request should no longer reach an engine. */
    static constexpr core::duration lateAfter = std::chrono::seconds(3);

    crash_fleet(const crash_load &load, std::uint32_t seed);

    crash_fleet_result run();

private:
    enum class load_kind : std::uint8_t { Sound, DeadlyRequest, DeadlySegment, OwnCrash };

    struct running_request
    {
        std::size_t node = 0;
        load_kind kind = load_kind::Sound;
        std::vector<request_feature> features = {};
        core::time_point startedAt = {};
        bool isRepeat = false;
        bool answered = false;
    };

    struct simulated_engine
    {
        std::vector<running_request> running;
        core::time_point downUntil{};
    };

    /** Probe of an engine by a node that saw it break off a response. */
    struct engine_probe
    {
        core::time_point at;
        std::size_t node = 0;
        std::size_t engine = 0;
    };

    struct message
    {
        core::time_point arrivesAt;
        std::size_t to = 0;
        std::shared_ptr<const quarantine_report> report;
        bool operator<(const message &other) const { return arrivesAt > other.arrivesAt; }
    };

    struct deadly_state
    {
        std::size_t crashes = 0;
        core::time_point firstCrash{};
        core::time_point knownBy = core::time_point::max();
    };

    void arrive(load_kind kind);
    std::optional<std::size_t> chooseEngine();
    void start(running_request request);
    void crashEngine(std::size_t engine);
    void progress();
    void probe();
    void reportDown(std::size_t engine);
    void deliver();
    void sendNews();
    std::vector<request_feature> soundFeatures();

    crash_load m_load;
    std::minstd_rand m_random;
    core::time_point m_now{std::chrono::hours(10)};
    std::vector<request_quarantine> m_nodes;
    std::vector<simulated_engine> m_engines;
    std::priority_queue<message> m_messages;
    std::vector<engine_probe> m_probes;
    std::uint64_t m_lastDigest = 1'000;
    deadly_state m_request;
    deadly_state m_segment;
    crash_fleet_result m_result;
};

} // namespace comfreypass::dispatch
