#pragma once

#include "core/ids.h"
#include "core/time_point.h"
#include "experiment/experiment_plan.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace comfreypass::experiment {

/** Progress of one request in a step of an engine. */
struct engine_progress
{
    core::request_id id = 0;
    bool firstEvent = false;
    bool completed = false;
};

/**
 * Model of an engine with continuous batching. It runs requests in order of arrival, prefills
 * prompts in chunks between the events of other requests, and produces one event per step for each
 * prefilled request. Not thread-safe.
 */
class engine_model
{
public:
    explicit engine_model(const engine_group &group) : m_group(group) { }

    void submit(core::request_id id, double promptTokens, std::uint32_t events);

    /** Removes a request and returns the number of its prompt tokens prefilled so far. */
    double cancel(core::request_id id);

    /** Removes and returns all requests, as in a crash. */
    std::vector<core::request_id> crash();

    /** Runs one step and returns the progress at its end. */
    std::vector<engine_progress> step();

    /** Returns the duration of the next step; precondition: not idle. */
    core::duration stepTime() const;

    bool idle() const noexcept { return m_requests.empty(); }
    /** Returns the number of running and queued requests. */
    std::size_t load() const noexcept { return m_requests.size(); }
    std::uint32_t slots() const noexcept { return m_group.slots; }

private:
    struct running_request
    {
        core::request_id id = 0;
        double promptTokens = 0;
        double promptRemaining = 0;
        std::uint32_t events = 0;
        std::uint32_t eventsRemaining = 0;
    };

    std::size_t runningCount() const noexcept;

    engine_group m_group;
    /** In order of arrival; the first ones, up to the number of slots, are running. */
    std::deque<running_request> m_requests;
};

} // namespace comfreypass::experiment
