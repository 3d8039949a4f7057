#pragma once

#include "experiment/experiment_plan.h"
#include "experiment/placement.h"

#include <cstdint>
#include <random>
#include <vector>

namespace comfreypass::experiment {

/** Baseline policies that start each request immediately, based on engine load reports. */
class reported_load final : public placement
{
public:
    /** Selects among the engines that were up at the last report and have not been tried. */
    using choose_function = std::size_t (reported_load::*)(const simulated_request &request,
                                                           const std::vector<std::size_t> &usable);

    reported_load(const experiment_plan &plan, placement_host &host, choose_function choose);

    std::size_t randomEngine(const simulated_request &request,
                             const std::vector<std::size_t> &usable);
    std::size_t leastReported(const simulated_request &request,
                              const std::vector<std::size_t> &usable);
    std::size_t lessLoadedOfTwo(const simulated_request &request,
                                const std::vector<std::size_t> &usable);

    void onRequest(const simulated_request &request) override;
    void onFirstEvent(const simulated_request &, std::size_t, core::duration) override { }
    void onEnd(const simulated_request &request, std::size_t engine,
               dispatch::attempt_result result, core::duration serviceTime) override;
    void onFinished(const simulated_request &) override { }
    void onTick() override;

private:
    struct report
    {
        std::size_t load = 0;
        bool up = true;
    };

    double loadOf(std::size_t node, std::size_t engine) const;

    placement_host &m_host;
    choose_function m_choose;
    std::minstd_rand m_random;
    std::vector<report> m_reports;
    /** Running requests by node and engine. */
    std::vector<std::vector<std::uint32_t>> m_ownRunning;
    std::vector<std::uint32_t> m_slots;
    core::time_point m_reportedAt{};
};

} // namespace comfreypass::experiment
