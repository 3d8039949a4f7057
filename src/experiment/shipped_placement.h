#pragma once

#include "dispatch/admission.h"
#include "dispatch/engine_registry.h"
#include "dispatch/engine_subsetting.h"
#include "dispatch/fleet_view.h"
#include "experiment/experiment_plan.h"
#include "experiment/placement.h"

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace comfreypass::experiment {

/** The decisions that a gateway ships, one set for each node, with messages that take time. */
class shipped_placement final : public placement
{
public:
    shipped_placement(const experiment_plan &plan, placement_host &host);
    ~shipped_placement() override;

    void onRequest(const simulated_request &request) override;
    void onFirstEvent(const simulated_request &request, std::size_t engine,
                      core::duration time) override;
    void onEnd(const simulated_request &request, std::size_t engine,
               dispatch::attempt_result result, core::duration ran) override;
    void onGone(const simulated_request &request) override;
    void onTick() override;

private:
    struct node;
    struct message
    {
        core::time_point at{};
        std::function<void()> deliver;
    };

    dispatch::admission_request admissionOf(const simulated_request &request) const;
    void poll(node &target, dispatch::poll_trigger trigger);
    void sendStatus(node &from);
    void sendEngineUpdates(node &from);
    void deliverDue();
    void post(std::function<void()> deliver);

    const experiment_plan &m_plan;
    placement_host &m_host;
    core::duration m_statusInterval;
    std::vector<std::unique_ptr<node>> m_nodes;
    std::vector<std::string> m_names;
    std::unordered_map<std::string, std::size_t> m_engineByName;
    /** All delays are equal, so the order of sending is that of delivery. */
    std::deque<message> m_messages;
    bool m_polling = false;
};

} // namespace comfreypass::experiment
