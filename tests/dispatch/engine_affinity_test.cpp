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
    CPPUNIT_TEST(enginesAreDistributedEvenly);
    CPPUNIT_TEST(resultDoesNotDependOnInputOrder);
    CPPUNIT_TEST(lostNodeChangesFewAssignments);
    CPPUNIT_TEST(nodesOfALostDomainKeepEnginesElsewhere);
    CPPUNIT_TEST(tooFewEnginesAreNotSubsetted);
    CPPUNIT_TEST(lostEnginesOfALargeFleetKeepItSubsetted);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a node that prefers hardly any engine and selects others by outdated loads.
    void enginesAreDistributedEvenly()
    {
        for (const std::size_t count : {8U, 19U, 81U}) {
            const engine_affinity assigned = assignEngines(nodes(count), engines(112));
            const auto numbers = enginesPerNode(assigned);
            CPPUNIT_ASSERT_EQUAL(count, numbers.size());
            for (const node_location &each : nodes(count)) {
                // Half of the nodes of an engine are in its domain; there are four domains.
                const double inDomain = static_cast<double>(
                    std::ranges::count(nodes(count), each.domain, &node_location::domain));
                const double fairShare
                    = 2.0 * 28 / inDomain + 2.0 * 112 / static_cast<double>(count);
                // Both halves are rounded up.
                const auto number = static_cast<double>(numbers.at(each.address));
                CPPUNIT_ASSERT(number <= fairShare + 2);
                CPPUNIT_ASSERT(number >= fairShare / 3);
            }
        }
    }

    // Guards against updates to the wrong peers by nodes that know the members in another order.
    void resultDoesNotDependOnInputOrder()
    {
        std::vector<node_location> shuffled = nodes(20);
        std::ranges::reverse(shuffled);
        std::vector<engine_location> listed = engines(56);
        std::ranges::reverse(listed);
        CPPUNIT_ASSERT(assignEngines(nodes(20), engines(56)) == assignEngines(shuffled, listed));
    }

    // Guards against one crashed node that reassigns most engines, whose loads are then outdated.
    void lostNodeChangesFewAssignments()
    {
        const engine_affinity before = assignEngines(nodes(40), engines(112));
        std::vector<node_location> remaining = nodes(40);
        remaining.erase(remaining.begin() + 17);
        const engine_affinity after = assignEngines(remaining, engines(112));
        std::size_t changed = 0;
        for (const auto &[key, addresses] : after) {
            for (const std::uint32_t address : addresses) {
                if (std::ranges::find(before.at(key), address) == before.at(key).end())
                    ++changed;
            }
        }
        CPPUNIT_ASSERT(changed < std::size_t{4} * 112 / 4);
    }

    // Guards against nodes without preferred engines while their domain is out of service.
    void nodesOfALostDomainKeepEnginesElsewhere()
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

    // Guards against a fleet in which some nodes cannot use any engine of a small upstream.
    void tooFewEnginesAreNotSubsetted()
    {
        CPPUNIT_ASSERT(assignEngines(nodes(81), engines(4)).empty());
        CPPUNIT_ASSERT(!assignEngines(nodes(2), engines(1)).empty());
        CPPUNIT_ASSERT(assignEngines({}, engines(4)).empty());
    }

    // Guards against a large fleet that decides on outdated loads of all engines as soon as some
    // engines are lost, and against nodes without engines: 163 engines suffice for four nodes each
    // of 295, 135 do not.
    void lostEnginesOfALargeFleetKeepItSubsetted()
    {
        for (const std::size_t remaining : {163U, 135U, 100U}) {
            const engine_affinity assigned = assignEngines(nodes(295), engines(remaining));
            CPPUNIT_ASSERT_EQUAL(remaining, assigned.size());
            const auto numbers = enginesPerNode(assigned);
            CPPUNIT_ASSERT_EQUAL(std::size_t{295}, numbers.size());
            for (const auto &[address, number] : numbers)
                CPPUNIT_ASSERT(number >= 2);
            for (const auto &[key, addresses] : assigned)
                CPPUNIT_ASSERT(addresses.size() >= 4 && addresses.size() <= 8);
        }
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
