#include "scheduling/fleet_simulation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>

class fleet_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fleet_test);
    CPPUNIT_TEST(coldEnginesStayWithinTheirLimit);
    CPPUNIT_TEST(coldSlotsWithOwnersStayWithinTheLimit);
    CPPUNIT_TEST(coldEnginesStayWithinTheirLimitInFrequentChanges);
    CPPUNIT_TEST(higherTierIsNotRefusedForLowerTier);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against schedulers that together load a cold engine above its ramp limit.
    void coldEnginesStayWithinTheirLimit()
    {
        std::size_t dispatches = 0;
        for (std::uint64_t seed = 1; seed <= 40; ++seed) {
            fleet_simulation fleet({}, seed);
            fleet.run();
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), std::size_t{0},
                                         fleet.overloads);
            dispatches += fleet.dispatches;
        }
        CPPUNIT_ASSERT(dispatches > 1'000);
    }

    // Guards against two schedulers that both use a slot with a single owner.
    void coldSlotsWithOwnersStayWithinTheLimit()
    {
        simulation_options options;
        options.listedNames = true;
        std::size_t dispatches = 0;
        for (std::uint64_t seed = 1; seed <= 60; ++seed) {
            options.roleChanges = seed % 2 == 0 ? 0.4 : 0.05;
            fleet_simulation fleet(options, seed);
            fleet.run();
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), std::size_t{0},
                                         fleet.overloads);
            dispatches += fleet.dispatches;
        }
        CPPUNIT_ASSERT(dispatches > 1'000);
    }

    // Guards against a new scheduler that counts vote shares still used by dispatches of an earlier
    // one.
    void coldEnginesStayWithinTheirLimitInFrequentChanges()
    {
        simulation_options options;
        options.roleChanges = 0.4;
        options.partitions = 0.2;
        options.pauses = 0.3;
        options.restarts = 0.1;
        for (std::uint64_t seed = 1; seed <= 100; ++seed) {
            fleet_simulation fleet(options, seed);
            fleet.run();
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), std::size_t{0},
                                         fleet.overloads);
        }
    }

    // Guards against a capacity refusal while lower-tier work is queued or running.
    void higherTierIsNotRefusedForLowerTier()
    {
        simulation_options options;
        options.queueCapacity = 8;
        options.engines = 2;
        options.slots = 4;
        options.lost = options.duplicated = options.restarts = options.pauses = 0;
        options.partitions = options.roleChanges = 0;
        std::size_t refusals = 0;
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            fleet_simulation fleet(options, seed);
            fleet.run();
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), std::size_t{0},
                                         fleet.inversions);
            refusals += fleet.capacityRefusals;
        }
        CPPUNIT_ASSERT(refusals > 1'000);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_test);
