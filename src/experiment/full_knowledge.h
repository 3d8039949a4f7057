#pragma once

#include "experiment/experiment_plan.h"
#include "experiment/placement.h"

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace comfreypass::experiment {

/**
 * An upper bound that no fleet can reach: a single queue knows the load of every engine without
 * delay and starts only requests that can still be on time.
 */
class full_knowledge final : public placement
{
public:
    full_knowledge(const experiment_plan &plan, placement_host &host);

    void onRequest(const simulated_request &request) override;
    void onFirstEvent(const simulated_request &request, std::size_t engine,
                      core::duration time) override;
    void onEnd(const simulated_request &request, std::size_t engine,
               dispatch::attempt_result result, core::duration serviceTime) override;
    void onFinished(const simulated_request &request) override;
    void onTick() override { startQueued(); }

private:
    void startQueued();
    /** Returns the least loaded engine with a free slot, or the number of engines if none has. */
    std::size_t leastLoaded() const;

    const experiment_plan &m_plan;
    placement_host &m_host;
    std::vector<std::uint32_t> m_slots;
    /** Requests at each engine, including those in transit. */
    std::vector<std::uint32_t> m_running;
    /** Queued requests by priority and order of arrival. */
    std::map<std::pair<std::uint32_t, core::request_id>, simulated_request> m_queue;
    /** Smoothed time to the first event, by profile. */
    std::vector<double> m_firstEventSeconds;
    bool m_starting = false;
};

} // namespace comfreypass::experiment
