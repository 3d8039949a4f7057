#include "node/pool_preview.h"

#include "scheduling/pool_scheduler.h"

#include <algorithm>
#include <variant>

namespace comfreypass::node {

namespace {

/** Version without resets and with the maximum evidence count. The upper 32 bits of a ramp's
 * version count resets, the lower 32 bits responses that served as evidence. */
constexpr std::uint64_t warmRampVersion = 0xffff'ffffU;

scheduling::running_dispatch runningOn(const core::engine_name &engine, std::uint64_t number,
                                       core::time_point deadline)
{
    scheduling::running_dispatch dispatch;
    dispatch.request = number;
    dispatch.permit = number;
    dispatch.engine = engine;
    dispatch.deadline = deadline;
    return dispatch;
}

/** Returns the vote of a node that runs as many dispatches as the load reports count. */
scheduling::lease_vote makeVote(const scheduling::lease_poll &poll,
                                std::span<const sheet::engine_info> engines,
                                std::span<const scheduling::load_report> loads,
                                core::time_point deadline)
{
    scheduling::lease_vote vote{poll.upstream, poll.sequence, true, {}, {}, {}};
    for (const sheet::engine_info &engine : engines) {
        const auto load = std::find_if(loads.begin(), loads.end(), [&](const auto &report) {
            return report.engine == engine.name;
        });
        const bool cold = load != loads.end() && load->cold;
        if (!cold)
            vote.ramps.push_back({engine.name, UINT32_MAX, 0, 0, warmRampVersion});
        const std::uint32_t running = load != loads.end() ? load->running : 0;
        for (std::uint32_t i = 0; i < running; ++i)
            vote.running.push_back(runningOn(engine.name, vote.running.size() + 1, deadline));
    }
    return vote;
}

} // namespace

std::vector<scheduling::engine_explanation> previewPool(
    const std::shared_ptr<const sheet::sheet> &sheet, std::span<const sheet::engine_info> engines,
    std::span<const scheduling::load_report> loads, const scheduling::permit_request &request)
{
    auto singleNodeSheet = std::make_shared<sheet::sheet>(*sheet);
    singleNodeSheet->entryNodes = 1;
    const core::node_identity voter{core::node_name("preview"), 1};
    const core::time_point now{};

    scheduling::pool_scheduler pool(request.upstream);
    pool.setSheet(singleNodeSheet, now);
    pool.setEngines(engines, now);
    pool.setVoters(std::span(&voter, 1), 1, now);
    for (const scheduling::outgoing &outgoing : pool.start(now)) {
        if (const auto *poll = std::get_if<scheduling::lease_poll>(&outgoing.message))
            pool.onVote(voter, makeVote(*poll, engines, loads, request.deadline), now);
    }
    return pool.explain(request, now);
}

} // namespace comfreypass::node
