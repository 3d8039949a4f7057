#include "dispatch/admission.h"
#include "dispatch/engine_subsetting.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

using namespace comfreypass;
using namespace comfreypass::dispatch;
using namespace std::chrono_literals;

namespace {

struct fleet_plan
{
    std::size_t nodes;
    std::size_t engines;
    std::uint32_t slots;
    core::duration statusInterval;
    /** Average fraction of all slots that the load uses. */
    double load;
    /** Each node prefers a subset of the engines and receives their updates immediately. */
    bool subsetsEngines = false;
};

/** Nodes that place requests at engines by periodically exchanged loads. */
class placement_fleet
{
public:
    placement_fleet(const fleet_plan &plan, bool usesLoadAge) : m_plan(plan)
    {
        for (std::size_t i = 0; i < plan.nodes; ++i) {
            m_nodes.push_back(std::make_unique<node>(static_cast<std::uint32_t>(i + 1)));
            if (usesLoadAge)
                m_nodes.back()->decisions.setLoadAge(plan.statusInterval / 2);
            for (std::size_t e = 0; e < plan.engines; ++e)
                m_nodes.back()->registry.update({.id = "e" + std::to_string(e),
                                                 .upstream = "u",
                                                 .address = "127.0.0.1:1",
                                                 .domain = "d" + std::to_string(e % 4),
                                                 .slots = plan.slots},
                                                nullptr, m_now);
        }
        m_running.resize(plan.engines);
    }

    /** Returns the fraction of requests that start at an engine without a free slot. */
    double overloadedFraction(core::duration time)
    {
        const double rate
            = m_plan.load * static_cast<double>(m_plan.engines * m_plan.slots) / serviceSeconds;
        std::exponential_distribution<double> arrivalGap(rate);
        const core::time_point end = m_now + time;
        std::size_t started = 0;
        std::size_t overloaded = 0;
        while (m_now < end) {
            m_now += std::chrono::duration_cast<core::duration>(
                std::chrono::duration<double>(arrivalGap(m_random)));
            completeDue();
            if (m_now >= m_nextStatus)
                sendStatuses();
            node &receiver = *m_nodes[m_random() % m_nodes.size()];
            const admission_decision decision = receiver.decisions.submit({.id = ++m_last,
                                                                           .upstream = "u",
                                                                           .priority = 0,
                                                                           .objectiveAt = m_now,
                                                                           .queueDeadline = m_now},
                                                                          m_now);
            if (decision.outcome != admission_outcome::Start)
                continue;
            sendUpdates(receiver);
            const auto engine = static_cast<std::size_t>(std::stoul(decision.engine.id.substr(1)));
            ++started;
            if (m_running[engine]++ >= m_plan.slots)
                ++overloaded;
            std::exponential_distribution<double> service(1 / serviceSeconds);
            m_completions.push({m_now
                                    + std::chrono::duration_cast<core::duration>(
                                        std::chrono::duration<double>(service(m_random))),
                                &receiver, engine});
        }
        CPPUNIT_ASSERT(started > 1'000);
        return static_cast<double>(overloaded) / static_cast<double>(started);
    }

private:
    static constexpr double serviceSeconds = 1;

    struct node
    {
        explicit node(std::uint32_t number)
            : address(number), registry("d" + std::to_string(number % 4), number),
              fleet(number, "d" + std::to_string(number % 4),
                    {.unreachableAfter = 1h, .retention = 1h}),
              subsetting(number, registry), decisions(registry, fleet, number)
        { }

        std::uint32_t address;
        engine_registry registry;
        fleet_view fleet;
        engine_subsetting subsetting;
        admission decisions;
    };

    struct completion
    {
        core::time_point at;
        node *owner;
        std::size_t engine;
        bool operator>(const completion &other) const { return at > other.at; }
    };

    void completeDue()
    {
        while (!m_completions.empty() && m_completions.top().at <= m_now) {
            const completion ended = m_completions.top();
            m_completions.pop();
            --m_running[ended.engine];
            ended.owner->decisions.onEnd("u", "e" + std::to_string(ended.engine),
                                         attempt_result::Served, {}, ended.at);
            sendUpdates(*ended.owner);
        }
    }

    void sendUpdates(node &from)
    {
        if (!m_plan.subsetsEngines)
            return;
        for (auto &[address, update] : from.subsetting.takeUpdates({})) {
            update.address = from.address;
            update.incarnation = 1;
            update.sequence = ++m_sequence;
            node &to = *m_nodes[address - 1];
            if (!to.fleet.acceptEngineUpdate(update))
                continue;
            for (const engine_load &load : update.loads)
                to.registry.setPeerLoad(update.address, load);
        }
    }

    void sendStatuses()
    {
        m_nextStatus = m_now + m_plan.statusInterval;
        ++m_sequence;
        for (const auto &from : m_nodes) {
            node_status status;
            status.address = from->address;
            status.domain = "d" + std::to_string(from->address % 4);
            status.incarnation = 1;
            status.sequence = m_sequence;
            const std::vector<engine_load> loads = from->registry.ownLoads();
            for (const auto &to : m_nodes) {
                if (to == from)
                    continue;
                to->fleet.onStatus(status, m_now);
                to->registry.setPeerLoads(from->address, loads);
            }
        }
        for (const auto &each : m_nodes) {
            if (m_plan.subsetsEngines)
                each->subsetting.update(each->fleet.activeNodes(m_now));
        }
    }

    fleet_plan m_plan;
    std::vector<std::unique_ptr<node>> m_nodes;
    std::vector<std::uint32_t> m_running;
    std::priority_queue<completion, std::vector<completion>, std::greater<>> m_completions;
    core::time_point m_now{1h};
    core::time_point m_nextStatus{};
    std::uint64_t m_sequence = 0;
    core::request_id m_last = 0;
    std::minstd_rand m_random{11};
};

} // namespace

class placement_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(placement_test);
    CPPUNIT_TEST(largeFleetDoesNotOverloadOneEngine);
    CPPUNIT_TEST(smallFleetSelectsTheLeastLoadedEngine);
    CPPUNIT_TEST(subsettedEnginesAreRarelyOverloaded);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against nodes that all select the engine with the lowest load in the last status.
    void largeFleetDoesNotOverloadOneEngine()
    {
        const fleet_plan plan{
            .nodes = 40, .engines = 56, .slots = 7, .statusInterval = 320ms, .load = 0.7};
        const double withoutLoadAge = placement_fleet(plan, false).overloadedFraction(6s);
        const double withLoadAge = placement_fleet(plan, true).overloadedFraction(6s);
        CPPUNIT_ASSERT(withLoadAge < withoutLoadAge / 2);
    }

    // Guards against needlessly random placement when the nodes know nearly all loads.
    void smallFleetSelectsTheLeastLoadedEngine()
    {
        const fleet_plan plan{
            .nodes = 4, .engines = 9, .slots = 18, .statusInterval = 50ms, .load = 0.7};
        const double withoutLoadAge = placement_fleet(plan, false).overloadedFraction(20s);
        const double withLoadAge = placement_fleet(plan, true).overloadedFraction(20s);
        CPPUNIT_ASSERT(withLoadAge <= withoutLoadAge + 0.01);
    }

    // Guards against a large fleet that overloads engines while most of them are nearly full.
    void subsettedEnginesAreRarelyOverloaded()
    {
        fleet_plan plan{
            .nodes = 81, .engines = 112, .slots = 7, .statusInterval = 324ms, .load = 0.9};
        const double withoutSubsets = placement_fleet(plan, true).overloadedFraction(6s);
        plan.subsetsEngines = true;
        const double withSubsets = placement_fleet(plan, true).overloadedFraction(6s);
        CPPUNIT_ASSERT(withSubsets < withoutSubsets / 4);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(placement_test);
