#pragma once

#include "core/ids.h"
#include "core/time_point.h"
#include "experiment/experiment_plan.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace comfreypass::experiment {

/** What a step of an engine brought for one request. */
struct engine_progress
{
    core::request_id id = 0;
    bool firstEvent = false;
    bool completed = false;
};

/**
 * An engine that works in steps: it admits requests in the order of arrival, reads prompts in parts
 * between the events of others, and gives each request that is read one event a step. Not
 * thread-safe.
 */
class engine_model
{
public:
    explicit engine_model(const engine_group &group) : m_group(group) { }

    void submit(core::request_id id, double promptTokens, std::uint32_t events);

    /** Removes a request; its prompt tokens read so far are returned. */
    double cancel(core::request_id id);

    /** Removes and returns all requests, as a crash does. */
    std::vector<core::request_id> crash();

    /** Works for one step; the progress is what the end of the step brings. */
    std::vector<engine_progress> step();

    /** Time of the next step; precondition: not idle. */
    core::duration stepTime() const;

    bool idle() const noexcept { return m_requests.empty(); }
    /** Running and waiting requests. */
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
    /** In the order of arrival; the first ones, as many as there are slots, run. */
    std::deque<running_request> m_requests;
};

} // namespace comfreypass::experiment
