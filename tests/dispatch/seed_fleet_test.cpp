#include "dispatch/fleet_view.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

using namespace comfreypass;
using namespace comfreypass::dispatch;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t seedCount = 3;

/**
 * Returns the step while nothing changes; shorter than the retention time, so that no live node is
 * forgotten, and a multiple that exceeds it within the period, so that the others are.
 */
core::duration stepFor(core::duration period)
{
    return std::min<core::duration>(period, period > 10min ? 59s : 31s);
}

/** Nodes that exchange statuses as gateway nodes do; nodes 1 to 3 are the seeds. */
class virtual_fleet
{
public:
    explicit virtual_fleet(std::uint32_t size)
        : m_interval(std::max<core::duration>(150ms, 4ms * static_cast<int>(size)))
    {
        for (std::uint32_t i = 1; i <= size; ++i) {
            m_nodes.push_back({.address = i});
            start(m_nodes.back());
        }
        run(6 * m_interval, m_interval);
    }

    std::uint32_t size() const { return static_cast<std::uint32_t>(m_nodes.size()); }
    core::duration interval() const { return m_interval; }

    void stop(std::uint32_t address) { node(address).view.reset(); }
    void restart(std::uint32_t address) { start(node(address)); }

    /** Separates the nodes for which the function returns true from the others. */
    void partition(std::function<bool(std::uint32_t)> side) { m_side = std::move(side); }

    /** Lets each node send one status in each step. */
    void run(core::duration period, core::duration step)
    {
        for (const core::time_point end = m_now + period; m_now < end; m_now += step) {
            for (virtual_node &each : m_nodes) {
                if (each.view)
                    sendStatus(each);
            }
            for (virtual_node &each : m_nodes) {
                if (each.view)
                    each.view->removeExpired(m_now);
            }
        }
    }

    /** Returns the quota that all nodes grant together, as a multiple of the quota. */
    double grantedQuota() const
    {
        double granted = 0;
        for (const virtual_node &each : m_nodes) {
            if (each.view)
                granted += 1 / static_cast<double>(each.view->share(m_now).known);
        }
        return granted;
    }

    bool isWhole() const
    {
        return std::ranges::all_of(m_nodes, [this](const virtual_node &each) {
            return each.view && each.view->share(m_now).reachable == m_nodes.size();
        });
    }

    std::size_t knownAt(std::uint32_t address) { return node(address).view->share(m_now).known; }
    std::uint64_t contacts() const { return m_contacts; }

private:
    struct virtual_node
    {
        std::uint32_t address = 0;
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        std::optional<fleet_view> view = std::nullopt;
    };

    virtual_node &node(std::uint32_t address) { return m_nodes.at(address - 1); }

    void start(virtual_node &each)
    {
        ++each.incarnation;
        each.view.emplace(each.address, "d1", fleet_timeouts{});
        each.view->setStatusInterval(m_interval);
        each.view->setSeeds({1, 2, seedCount}, m_now);
    }

    node_status buildStatus(virtual_node &sender, bool full)
    {
        node_status status;
        status.address = sender.address;
        status.incarnation = sender.incarnation;
        status.sequence = ++sender.sequence;
        for (const auto &[address, member] : sender.view->members()) {
            if (full && member.hasReported)
                status.knownNodes.push_back(address);
        }
        return status;
    }

    void sendStatus(virtual_node &sender)
    {
        constexpr std::uint64_t statusesPerFullStatus = 16;
        const node_status status
            = buildStatus(sender, (sender.sequence + sender.address) % statusesPerFullStatus == 0);
        for (const std::uint32_t peer : sender.view->peers())
            deliver(sender, peer, status);
        for (const std::uint32_t seed : sender.view->takeForgottenSeeds(m_now)) {
            ++m_contacts;
            deliver(sender, seed, status);
        }
    }

    // A node answers the first status of another one.
    void deliver(virtual_node &sender, std::uint32_t to, const node_status &status)
    {
        virtual_node &receiver = node(to);
        if (!receiver.view || (m_side && m_side(sender.address) != m_side(to)))
            return;
        if (receiver.view->onStatus(status, m_now).isNew)
            sender.view->onStatus(buildStatus(receiver, true), m_now);
    }

    core::duration m_interval;
    core::time_point m_now{1h};
    std::vector<virtual_node> m_nodes;
    std::function<bool(std::uint32_t)> m_side;
    std::uint64_t m_contacts = 0;
};

} // namespace

class seed_fleet_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(seed_fleet_test);
    CPPUNIT_TEST(seedsThatReturnJoinTheFleet);
    CPPUNIT_TEST(halvesThatWerePartitionedJoin);
    CPPUNIT_TEST(forgottenSeedIsContactedAtABoundedRate);
    CPPUNIT_TEST(seedsOfChangedSettingsReplaceTheOthers);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against seeds that form a fleet of their own after they were off, see review/5.
    void seedsThatReturnJoinTheFleet()
    {
        for (const std::uint32_t size : {8U, 60U, 380U}) {
            const virtual_fleet started(size);
            for (const core::duration off : std::vector<core::duration>{10s, 64s, 3600s}) {
                for (const std::uint32_t stopped : {seedCount, seedCount - 1}) {
                    virtual_fleet fleet = started;
                    for (std::uint32_t seed = 1; seed <= stopped; ++seed)
                        fleet.stop(seed);
                    fleet.run(off, stepFor(off));
                    for (std::uint32_t seed = 1; seed <= stopped; ++seed)
                        fleet.restart(seed);
                    checkJoins(fleet, std::to_string(size) + " nodes");
                }
            }
        }
    }

    // Guards against two halves that forget each other during a long partition.
    void halvesThatWerePartitionedJoin()
    {
        for (const std::uint32_t size : {8U, 60U, 380U}) {
            const virtual_fleet started(size);
            for (const core::duration cut : std::vector<core::duration>{10s, 64s, 3600s}) {
                for (const bool seedsTogether : {true, false}) {
                    virtual_fleet fleet = started;
                    fleet.partition([size, seedsTogether](std::uint32_t address) {
                        return seedsTogether ? address <= size / 2 : address % 2 == 0;
                    });
                    fleet.run(cut, stepFor(cut));
                    fleet.partition(nullptr);
                    checkJoins(fleet, std::to_string(size) + " nodes");
                }
            }
        }
    }

    // Guards against traffic to a seed that is gone for good, and against its share of the quota.
    void forgottenSeedIsContactedAtABoundedRate()
    {
        virtual_fleet fleet(8);
        for (std::uint32_t seed = 1; seed <= seedCount; ++seed)
            fleet.stop(seed);
        fleet.run(62s, fleet.interval());
        const std::uint64_t before = fleet.contacts();
        fleet.run(60s, fleet.interval());
        // 5 nodes, 3 seeds, every 2 s, for 60 s.
        CPPUNIT_ASSERT(fleet.contacts() - before <= 450);
        CPPUNIT_ASSERT(fleet.contacts() - before >= 400);
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, fleet.knownAt(8));
    }

    // Guards against contacts to machines that the settings no longer name, and to the node itself.
    void seedsOfChangedSettingsReplaceTheOthers()
    {
        const core::time_point start{1h};
        fleet_view view(1, "d1", {});
        view.setSeeds({1, 2, 3}, start);
        view.setSeeds({1, 4}, start);
        CPPUNIT_ASSERT(view.takeForgottenSeeds(start).empty());
        view.removeExpired(start + 61s);
        CPPUNIT_ASSERT(view.takeForgottenSeeds(start + 61s) == std::vector<std::uint32_t>{4});
        CPPUNIT_ASSERT(view.takeForgottenSeeds(start + 62s).empty());
        CPPUNIT_ASSERT(view.takeForgottenSeeds(start + 63s) == std::vector<std::uint32_t>{4});
    }

private:
    /** The stated time until the fleet is one again and grants each quota once. */
    static void checkJoins(virtual_fleet &fleet, const std::string &name)
    {
        fleet.run(2s + 3 * fleet.interval(), fleet.interval());
        CPPUNIT_ASSERT_MESSAGE(name, fleet.isWhole());
        CPPUNIT_ASSERT_DOUBLES_EQUAL_MESSAGE(name, 1, fleet.grantedQuota(), 1e-6);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(seed_fleet_test);
