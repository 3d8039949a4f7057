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
    core::duration exchange;
    /** Part of all slots that the load takes on average. */
    double load;
    /** Nodes prefer some engines each and hear of these at once. */
    bool sharesEngines = false;
};

/** Nodes that place requests on engines by loads that are exchanged at times. */
class placement_fleet
{
public:
    placement_fleet(const fleet_plan &plan, bool knowsAge) : m_plan(plan)
    {
        for (std::size_t i = 0; i < plan.nodes; ++i) {
            m_nodes.push_back(std::make_unique<node>(static_cast<std::uint32_t>(i + 1)));
            if (knowsAge)
                m_nodes.back()->decisions.setLoadAge(plan.exchange / 2);
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

    /** Part of the requests that find all slots of their engine taken. */
    double crowded(core::duration time)
    {
        const double rate
            = m_plan.load * static_cast<double>(m_plan.engines * m_plan.slots) / serviceSeconds;
        std::exponential_distribution<double> gap(rate);
        const core::time_point end = m_now + time;
        std::size_t started = 0;
        std::size_t full = 0;
        while (m_now < end) {
            m_now += std::chrono::duration_cast<core::duration>(
                std::chrono::duration<double>(gap(m_random)));
            endDue();
            if (m_now >= m_nextExchange)
                exchange();
            node &taker = *m_nodes[m_random() % m_nodes.size()];
            const admission_decision decision = taker.decisions.submit({.id = ++m_last,
                                                                        .upstream = "u",
                                                                        .priority = 0,
                                                                        .objectiveAt = m_now,
                                                                        .queueDeadline = m_now},
                                                                       m_now);
            if (decision.outcome != admission_outcome::Start)
                continue;
            tellNews(taker);
            const auto engine = static_cast<std::size_t>(std::stoul(decision.engine.id.substr(1)));
            ++started;
            if (m_running[engine]++ >= m_plan.slots)
                ++full;
            std::exponential_distribution<double> service(1 / serviceSeconds);
            m_ends.push({m_now
                             + std::chrono::duration_cast<core::duration>(
                                 std::chrono::duration<double>(service(m_random))),
                         &taker, engine});
        }
        CPPUNIT_ASSERT(started > 1'000);
        return static_cast<double>(full) / static_cast<double>(started);
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

    struct running_end
    {
        core::time_point at;
        node *owner;
        std::size_t engine;
        bool operator>(const running_end &other) const { return at > other.at; }
    };

    void endDue()
    {
        while (!m_ends.empty() && m_ends.top().at <= m_now) {
            const running_end ended = m_ends.top();
            m_ends.pop();
            --m_running[ended.engine];
            ended.owner->decisions.onEnd("u", "e" + std::to_string(ended.engine),
                                         attempt_result::Served, {}, ended.at);
            tellNews(*ended.owner);
        }
    }

    void tellNews(node &from)
    {
        if (!m_plan.sharesEngines)
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

    void exchange()
    {
        m_nextExchange = m_now + m_plan.exchange;
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
            if (m_plan.sharesEngines)
                each->subsetting.update(each->fleet.activeNodes(m_now));
        }
    }

    fleet_plan m_plan;
    std::vector<std::unique_ptr<node>> m_nodes;
    std::vector<std::uint32_t> m_running;
    std::priority_queue<running_end, std::vector<running_end>, std::greater<>> m_ends;
    core::time_point m_now{1h};
    core::time_point m_nextExchange{};
    std::uint64_t m_sequence = 0;
    core::request_id m_last = 0;
    std::minstd_rand m_random{11};
};

} // namespace

class placement_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(placement_test);
    CPPUNIT_TEST(largeFleetDoesNotRushToOneEngine);
    CPPUNIT_TEST(smallFleetStillFindsTheEmptiestEngine);
    CPPUNIT_TEST(sharedOutEnginesAreSeldomCrowded);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against nodes that all take the engine which looked emptiest in the last exchange.
    void largeFleetDoesNotRushToOneEngine()
    {
        const fleet_plan plan{
            .nodes = 40, .engines = 56, .slots = 7, .exchange = 320ms, .load = 0.7};
        const double blind = placement_fleet(plan, false).crowded(6s);
        const double aware = placement_fleet(plan, true).crowded(6s);
        CPPUNIT_ASSERT(aware < blind / 2);
    }

    // Guards against random placement where the nodes see nearly everything.
    void smallFleetStillFindsTheEmptiestEngine()
    {
        const fleet_plan plan{.nodes = 4, .engines = 9, .slots = 18, .exchange = 50ms, .load = 0.7};
        const double blind = placement_fleet(plan, false).crowded(20s);
        const double aware = placement_fleet(plan, true).crowded(20s);
        CPPUNIT_ASSERT(aware <= blind + 0.01);
    }

    // Guards against a large fleet that overfills engines on a heavy day, when most are nearly
    // full.
    void sharedOutEnginesAreSeldomCrowded()
    {
        fleet_plan plan{.nodes = 81, .engines = 112, .slots = 7, .exchange = 324ms, .load = 0.9};
        const double equal = placement_fleet(plan, true).crowded(6s);
        plan.sharesEngines = true;
        const double shared = placement_fleet(plan, true).crowded(6s);
        CPPUNIT_ASSERT(shared < equal / 4);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(placement_test);
