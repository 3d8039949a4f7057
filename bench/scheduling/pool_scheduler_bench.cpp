// Measures a single decision of a pool scheduler: a permit request with its grant and release, and
// a permit request that displaces another from a full queue. The argument is the number of engines.
#include "scheduling/pool_scheduler.h"

#include <benchmark/benchmark.h>
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <random>
#include <string>

using namespace comfreypass;
using namespace comfreypass::scheduling;

namespace {

constexpr std::size_t teams = 2'700;
constexpr std::size_t nodes = 380;
constexpr std::size_t generations = 4;
/** Request interval multiplied by the number of engines; 1,000 requests/s at 600 engines. */
constexpr core::duration timePerRequest = std::chrono::milliseconds{600};
const core::upstream_name upstream{"asesor-modelo"};

std::shared_ptr<const sheet::sheet> makeSheet()
{
    sheet::sheet made;
    made.entryNodes = nodes;
    made.domains[core::domain_name{"sanjose-a"}] = {"central-valley", true};
    for (std::size_t i = 0; i < generations; ++i) {
        made.generations["g" + std::to_string(i)] = {10'000.0 * static_cast<double>(i + 1), 60, 8};
    }
    // As many cold slots as slots, so that the engines start warm.
    made.upstreams[upstream].coldSlots = 8;
    for (std::size_t i = 0; i < teams; ++i) {
        sheet::team_spec team;
        team.tiers.fill(sheet::team_spec::tier_limit{100'000});
        made.teams[core::team_name{"team-" + std::to_string(i)}] = team;
    }
    return std::make_shared<const sheet::sheet>(std::move(made));
}

class pool_bench
{
public:
    explicit pool_bench(std::size_t engines)
    {
        const std::size_t before = mallinfo2().uordblks;
        m_scheduler.setSheet(m_sheet, m_now);
        std::vector<sheet::engine_info> list;
        for (std::size_t i = 0; i < engines; ++i) {
            list.push_back({core::engine_name{"engine-" + std::to_string(i)}, upstream,
                            core::domain_name{"sanjose-a"}, "g" + std::to_string(i % generations),
                            "10.0.0.1:8000", false});
        }
        m_scheduler.setEngines(list, m_now);
        for (std::size_t i = 0; i < nodes; ++i)
            m_nodes.push_back({core::node_name{"entry-" + std::to_string(i)}, m_random()});
        m_scheduler.setVoters(m_nodes, nodes, m_now);
        vote(m_scheduler.start(m_now));
        m_before = before;
    }

    /** Advances the time and renews the votes that are due. */
    void advance(core::duration step)
    {
        m_now += step;
        if (m_now < m_nextTick)
            return;
        m_nextTick = m_now + std::chrono::milliseconds{100};
        vote(m_scheduler.tick(m_now));
    }

    permit_request request(core::tier tier)
    {
        permit_request made;
        made.request = m_random();
        made.upstream = upstream;
        made.tier = tier;
        made.team = core::team_name{"team-" + std::to_string(m_random() % teams)};
        const bool small = m_random() % 2 == 0;
        made.cost = small ? request_cost{200, 30} : request_cost{6'000, 400};
        made.prefixHashes = {1 + m_random() % 1'000, 1 + m_random(), 1 + m_random()};
        made.deadline = m_now + std::chrono::seconds{60 + m_random() % 30};
        return made;
    }

    const core::node_identity &anyNode() { return m_nodes[m_random() % nodes]; }
    std::size_t heapBytes() const { return mallinfo2().uordblks - m_before; }

    std::vector<outgoing> requestPermit(const core::node_identity &node,
                                        const permit_request &request)
    {
        return m_scheduler.onPermitRequest(node, request, m_now);
    }
    void release(const core::node_identity &node, const permit_grant &grant)
    {
        permit_release done;
        done.request = grant.request;
        done.permit = grant.permit;
        done.upstream = upstream;
        done.inTime = true;
        m_scheduler.onRelease(node, done, m_now);
    }

private:
    void vote(const std::vector<outgoing> &sent)
    {
        const auto isPoll = [](const outgoing &item) {
            return std::holds_alternative<lease_poll>(item.message);
        };
        const auto found = std::find_if(sent.begin(), sent.end(), isPoll);
        if (found == sent.end())
            return;
        lease_vote reply;
        reply.upstream = upstream;
        reply.sequence = std::get<lease_poll>(found->message).sequence;
        reply.granted = true;
        for (const core::node_identity &node : m_nodes)
            m_scheduler.onVote(node, reply, m_now);
    }

    std::mt19937_64 m_random{1};
    core::time_point m_now{std::chrono::seconds{100}};
    std::shared_ptr<const sheet::sheet> m_sheet = makeSheet();
    pool_scheduler m_scheduler{upstream};
    std::vector<core::node_identity> m_nodes;
    core::time_point m_nextTick{};
    std::size_t m_before = 0;
};

void grantAndRelease(benchmark::State &state)
{
    const auto engines = static_cast<std::size_t>(state.range(0));
    pool_bench pool(engines);
    // Half of the slots are in use, which is the usual load.
    for (std::size_t i = 0; i < engines * 4; ++i)
        pool.requestPermit(pool.anyNode(),
                           pool.request(static_cast<core::tier>(i % core::tierCount)));
    std::size_t granted = 0;
    for (auto step : state) {
        state.PauseTiming();
        pool.advance(timePerRequest / static_cast<std::int64_t>(engines));
        const core::node_identity node = pool.anyNode();
        const permit_request request = pool.request(2);
        state.ResumeTiming();
        const auto sent = pool.requestPermit(node, request);
        const auto *grant
            = sent.empty() ? nullptr : std::get_if<permit_grant>(&sent.front().message);
        if (grant == nullptr)
            continue;
        pool.release(node, *grant);
        ++granted;
    }
    state.counters["granted"] = static_cast<double>(granted);
    state.counters["heap_bytes"] = static_cast<double>(pool.heapBytes());
}

void displaceFromFullQueue(benchmark::State &state)
{
    const auto engines = static_cast<std::size_t>(state.range(0));
    pool_bench pool(engines);
    const std::size_t queued = scheduler_options{}.queueCapacity;
    for (std::size_t i = 0; i < engines * 8 + queued; ++i) {
        // Running work has the highest tier, so that a full queue displaces instead of preempting.
        pool.requestPermit(pool.anyNode(), pool.request(i < engines * 8 ? 0 : core::tier{4}));
    }
    std::size_t displaced = 0;
    for (auto step : state) {
        state.PauseTiming();
        const core::node_identity node = pool.anyNode();
        const auto tier = static_cast<core::tier>(displaced / 1'024 % 4);
        const permit_request request = pool.request(displaced % queued < 4'000 ? tier : 4);
        state.ResumeTiming();
        displaced += pool.requestPermit(node, request).size();
    }
    state.counters["answers"] = static_cast<double>(displaced);
    state.counters["heap_bytes"] = static_cast<double>(pool.heapBytes());
}

} // namespace

BENCHMARK(grantAndRelease)->Arg(60)->Arg(200)->Arg(600);
BENCHMARK(displaceFromFullQueue)->Arg(60)->Arg(200)->Arg(600);
BENCHMARK_MAIN();
