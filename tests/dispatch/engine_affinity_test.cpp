#include "dispatch/engine_affinity.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

using namespace comfreypass;
using namespace comfreypass::dispatch;

class engine_affinity_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(engine_affinity_test);
    CPPUNIT_TEST(nodesGetSimilarNumbers);
    CPPUNIT_TEST(orderOfTheViewDoesNotMatter);
    CPPUNIT_TEST(lostNodeMovesFewOthers);
    CPPUNIT_TEST(lostDomainLeavesItsNodesEngines);
    CPPUNIT_TEST(fewEnginesAreNotSharedOut);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a node that has hardly any engine of its own and takes slots by old loads.
    void nodesGetSimilarNumbers()
    {
        for (const std::size_t count : {8U, 19U, 81U}) {
            const engine_affinity assigned = assignEngines(nodes(count), engines(112));
            const auto numbers = enginesPerNode(assigned);
            CPPUNIT_ASSERT_EQUAL(count, numbers.size());
            for (const node_location &each : nodes(count)) {
                // Half of an engine's nodes are in its domain, of which there are four.
                const double inDomain = static_cast<double>(
                    std::ranges::count(nodes(count), each.domain, &node_location::domain));
                const double fair = 2.0 * 28 / inDomain + 2.0 * 112 / static_cast<double>(count);
                // Both halves are rounded up.
                const auto number = static_cast<double>(numbers.at(each.address));
                CPPUNIT_ASSERT(number <= fair + 2);
                CPPUNIT_ASSERT(number >= fair / 3);
            }
        }
    }

    // Guards against nodes that tell the wrong peers because they learned of them in another order.
    void orderOfTheViewDoesNotMatter()
    {
        std::vector<node_location> shuffled = nodes(20);
        std::ranges::reverse(shuffled);
        std::vector<engine_location> listed = engines(56);
        std::ranges::reverse(listed);
        CPPUNIT_ASSERT(assignEngines(nodes(20), engines(56)) == assignEngines(shuffled, listed));
    }

    // Guards against a single death after which the whole fleet has old loads of its engines.
    void lostNodeMovesFewOthers()
    {
        const engine_affinity before = assignEngines(nodes(40), engines(112));
        std::vector<node_location> rest = nodes(40);
        rest.erase(rest.begin() + 17);
        const engine_affinity after = assignEngines(rest, engines(112));
        std::size_t moved = 0;
        for (const auto &[key, addresses] : after) {
            for (const std::uint32_t address : addresses) {
                if (std::ranges::find(before.at(key), address) == before.at(key).end())
                    ++moved;
            }
        }
        CPPUNIT_ASSERT(moved < std::size_t{4} * 112 / 4);
    }

    // Guards against nodes without engines of their own when their domain is out of service.
    void lostDomainLeavesItsNodesEngines()
    {
        const std::vector<engine_location> all = engines(112);
        const engine_affinity assigned = assignEngines(nodes(80), all);
        std::map<std::uint32_t, std::size_t> elsewhere;
        for (const engine_location &each : all) {
            if (each.domain == "d1")
                continue;
            for (const std::uint32_t address : assigned.at(each.key))
                ++elsewhere[address];
        }
        for (const node_location &each : nodes(80))
            CPPUNIT_ASSERT(each.domain != "d1" || elsewhere[each.address] >= 1);
    }

    // Guards against a fleet in which some nodes could use no engine of a small upstream.
    void fewEnginesAreNotSharedOut()
    {
        CPPUNIT_ASSERT(assignEngines(nodes(81), engines(4)).empty());
        CPPUNIT_ASSERT(!assignEngines(nodes(2), engines(1)).empty());
        CPPUNIT_ASSERT(assignEngines({}, engines(4)).empty());
    }

private:
    static std::vector<node_location> nodes(std::size_t count)
    {
        std::vector<node_location> result;
        for (std::size_t i = 0; i < count; ++i)
            result.push_back(
                {static_cast<std::uint32_t>(0x7F000001 + i), "d" + std::to_string(i % 4)});
        return result;
    }

    static std::vector<engine_location> engines(std::size_t count)
    {
        std::vector<engine_location> result;
        for (std::size_t i = 0; i < count; ++i)
            result.push_back({engine_registry::keyOf("engine-" + std::to_string(i)),
                              "d" + std::to_string(i % 4)});
        return result;
    }

    static std::map<std::uint32_t, std::size_t> enginesPerNode(const engine_affinity &assigned)
    {
        std::map<std::uint32_t, std::size_t> numbers;
        for (const auto &[key, addresses] : assigned) {
            for (const std::uint32_t address : addresses)
                ++numbers[address];
        }
        return numbers;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(engine_affinity_test);
