#include "scheduling/ramp.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

using namespace comfreypass;
using namespace comfreypass::scheduling;
using namespace std::chrono_literals;

class ramp_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ramp_test);
    CPPUNIT_TEST(limitDoublesOnlyByEvidence);
    CPPUNIT_TEST(eachResetReturnsToTheStart);
    CPPUNIT_TEST(repeatedColdReportsHoldTheLimitAndResetOnce);
    CPPUNIT_TEST(responsesFromBeforeAResetDoNotCount);
    CPPUNIT_TEST(importTakesNewerStatesOnly);
    CPPUNIT_TEST(importIsCutToTheEvidence);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a ramp that rises too early or above the slots.
    void limitDoublesOnlyByEvidence()
    {
        scheduling::ramp ramp = makeRamp();
        std::uint32_t completed = 0;
        for (const std::uint32_t limit : {1U, 2U, 4U, 6U}) {
            CPPUNIT_ASSERT_EQUAL(limit, ramp.limit());
            for (std::uint32_t i = 0; i < limit; ++i, ++completed)
                ramp.onCompletedInTime(0);
        }
        CPPUNIT_ASSERT_EQUAL(6U, ramp.limit());
        CPPUNIT_ASSERT(!ramp.cold());
    }

    // Guards against full load on an engine that became cold again.
    void eachResetReturnsToTheStart()
    {
        ramp failed = warm();
        failed.onConnectionFailure();
        CPPUNIT_ASSERT_EQUAL(1U, failed.limit());

        ramp restarted = warm();
        restarted.onLoadReport(7, false);
        CPPUNIT_ASSERT_EQUAL(6U, restarted.limit());
        restarted.onLoadReport(8, false);
        CPPUNIT_ASSERT_EQUAL(1U, restarted.limit());

        ramp slow = warm();
        slow.onFirstToken(5s, 1s);
        slow.onFirstToken(5s, 1s);
        slow.onFirstToken(1s, 1s);
        slow.onFirstToken(5s, 1s);
        slow.onFirstToken(5s, 1s);
        CPPUNIT_ASSERT_EQUAL(6U, slow.limit());
        slow.onFirstToken(5s, 1s);
        CPPUNIT_ASSERT_EQUAL(1U, slow.limit());
    }

    // Guards against an engine that is loaded beyond its cold slots while it reports itself cold,
    // and against a limit that a second report of the same start resets once more.
    void repeatedColdReportsHoldTheLimitAndResetOnce()
    {
        scheduling::ramp ramp = makeRamp();
        ramp.onLoadReport(7, true);
        const std::uint32_t generation = ramp.generation();
        ramp.onCompletedInTime(ramp.generation());
        ramp.onLoadReport(7, true);
        CPPUNIT_ASSERT_EQUAL(1U, ramp.limit());
        CPPUNIT_ASSERT_EQUAL(generation, ramp.generation());
        ramp.onLoadReport(7, false);
        ramp.onCompletedInTime(ramp.generation());
        CPPUNIT_ASSERT_EQUAL(2U, ramp.limit());
        ramp.onLoadReport(7, false);
        ramp.onLoadReport(7, true);
        CPPUNIT_ASSERT_EQUAL(1U, ramp.limit());
    }

    // Guards against responses of the old process that warm up the new one.
    void responsesFromBeforeAResetDoNotCount()
    {
        scheduling::ramp ramp = makeRamp();
        ramp.onConnectionFailure();
        ramp.onCompletedInTime(0);
        CPPUNIT_ASSERT_EQUAL(1U, ramp.limit());
    }

    // Guards against an old state that undoes a reset.
    void importTakesNewerStatesOnly()
    {
        const ramp_state old = warm().state();
        scheduling::ramp ramp = warm();
        ramp.onConnectionFailure();
        CPPUNIT_ASSERT(!ramp.import(old));
        CPPUNIT_ASSERT_EQUAL(1U, ramp.limit());

        scheduling::ramp fresh = makeRamp();
        CPPUNIT_ASSERT(fresh.import(old));
        CPPUNIT_ASSERT_EQUAL(6U, fresh.limit());
    }

    // Guards against a faulty peer that declares a cold engine warm.
    void importIsCutToTheEvidence()
    {
        scheduling::ramp ramp = makeRamp();
        CPPUNIT_ASSERT(ramp.import({core::engine_name{"e"}, 1'000, 0, 0, 2}));
        CPPUNIT_ASSERT_EQUAL(3U, ramp.limit());
        scheduling::ramp restarted = makeRamp();
        restarted.onLoadReport(9, false);
        restarted.import({core::engine_name{"e"}, 6, 0, 8, 50});
        CPPUNIT_ASSERT_EQUAL(1U, restarted.limit());
    }

private:
    static ramp makeRamp() { return {core::engine_name{"e"}, 6, 1}; }

    static ramp warm()
    {
        scheduling::ramp ramp = makeRamp();
        for (int i = 0; i < 7; ++i)
            ramp.onCompletedInTime(0);
        return ramp;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ramp_test);
