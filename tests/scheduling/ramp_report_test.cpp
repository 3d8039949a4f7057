#include "scheduling/ramp.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace comfreypass;
using scheduling::ramp;

class ramp_report_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ramp_report_test);
    CPPUNIT_TEST(staysAtColdSlotsWhileReportedCold);
    CPPUNIT_TEST(awaitsTheFirstReport);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a ramp that outgrows an engine which still warms up: three quick responses
    // used to raise the limit to 4 within one report interval.
    void staysAtColdSlotsWhileReportedCold()
    {
        scheduling::ramp ramp(core::engine_name("e"), 16, 1);
        ramp.onLoadReport(7, true);
        complete(ramp, 20);
        CPPUNIT_ASSERT_EQUAL(1U, ramp.limit());

        ramp.onLoadReport(7, false);
        complete(ramp, 3);
        CPPUNIT_ASSERT_EQUAL(4U, ramp.limit());

        ramp.onLoadReport(8, true);
        complete(ramp, 20);
        CPPUNIT_ASSERT_EQUAL(1U, ramp.limit());
    }

    // Guards against growth in the time before anybody knows whether the engine is cold.
    void awaitsTheFirstReport()
    {
        scheduling::ramp ramp(core::engine_name("e"), 16, 2);
        ramp.setAwaitsReport(true);
        complete(ramp, 20);
        CPPUNIT_ASSERT_EQUAL(2U, ramp.limit());

        constexpr std::uint64_t noLoadPage = 0;
        ramp.onLoadReport(noLoadPage, false);
        complete(ramp, 2);
        CPPUNIT_ASSERT_EQUAL(4U, ramp.limit());
    }

private:
    static void complete(scheduling::ramp &ramp, int responses)
    {
        for (int i = 0; i < responses; ++i)
            ramp.onCompletedInTime(ramp.generation());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ramp_report_test);
