#pragma once

#include "policy/baseline.h"
#include "policy/sample_request.h"
#include "scheduling/pool_scheduler.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <tuple>
#include <vector>

/**
 * Runs one policy on one list of requests with simulated engines, in virtual time.
 *
 * An engine admits requests in order of arrival up to its slots, computes one prefill at a time and
 * decodes all of its streams concurrently, each at the speed of its generation. Every policy
 * cancels a request at its deadline. Messages take no time, and no prefix is cached. Not
 * thread-safe.
 */
class policy_run
{
public:
    using time_point = comfreypass::core::time_point;

    /** Interval in which the first `engines` engines are down; the requests at them fail. */
    struct outage
    {
        std::size_t engines = 0;
        time_point begin{};
        time_point end{};
    };

    enum class outcome : std::uint8_t { None, OnTime, Late, Failed, Preempted, Refused };

    struct request_result
    {
        outcome result = outcome::None;
        /** Prompt tokens that an engine processed. */
        double prefillTokens = 0;
    };

    /** Uses the pool scheduler if `rule` is empty. Precondition: `requests` is not empty. */
    policy_run(std::vector<sample_request> requests, std::optional<baseline::rule> rule,
               std::optional<outage> out, std::uint64_t seed);

    /** Runs the simulation to its end and returns the result of each request. */
    std::vector<request_result> run();

private:
    enum class event_kind : std::uint8_t {
        PrefillDone,
        DecodeDone,
        Deadline,
        Tick,
        Report,
        OutageEnd,
        OutageBegin,
        Arrival
    };

    struct event
    {
        time_point time{};
        event_kind kind = event_kind::Arrival;
        std::size_t request = 0;

        bool operator>(const event &other) const
        {
            return std::tie(time, kind, request) > std::tie(other.time, other.kind, other.request);
        }
    };

    struct job
    {
        std::optional<std::size_t> engine;
        comfreypass::core::permit_id permit = 0;
        time_point dispatched{};
        time_point prefillBegin{};
        std::optional<time_point> firstToken;
    };

    struct engine
    {
        comfreypass::sheet::generation_spec spec;
        std::size_t running = 0;
        std::deque<std::size_t> waiting;
        std::deque<std::size_t> prefills;
        std::uint64_t epoch = 1;
        bool outOfService = false;
    };

    void startScheduler();
    void handle(const event &item);
    void arrive(std::size_t request);
    void report();
    void setOutage(bool out);
    void dispatch(std::size_t request, std::size_t engine);
    void admit(engine &target);
    void startPrefill(engine &target);
    void leave(std::size_t request, outcome result);
    void emit(const std::vector<comfreypass::scheduling::outgoing> &messages);
    void schedule(time_point time, event_kind kind, std::size_t request = 0);
    std::shared_ptr<const comfreypass::sheet::sheet> makeSheet(bool out) const;

    std::vector<sample_request> m_requests;
    std::vector<job> m_jobs;
    std::vector<request_result> m_results;
    std::vector<engine> m_engines;
    std::optional<baseline> m_baseline;
    std::vector<baseline::view> m_views;
    /** Load of each engine at the last report; the policies receive it with the next one. */
    std::vector<std::size_t> m_nextReported;
    std::optional<outage> m_outage;
    std::unique_ptr<comfreypass::scheduling::pool_scheduler> m_scheduler;
    comfreypass::core::node_identity m_node{comfreypass::core::node_name{"entry-1"}, 1};
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    time_point m_now{};
    time_point m_end{};
};
