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
        ramp rise(core::engine_name("e"), 16, 1);
        rise.onLoadReport(7, true);
        complete(rise, 20);
        CPPUNIT_ASSERT_EQUAL(1U, rise.limit());

        rise.onLoadReport(7, false);
        complete(rise, 3);
        CPPUNIT_ASSERT_EQUAL(4U, rise.limit());

        rise.onLoadReport(8, true);
        complete(rise, 20);
        CPPUNIT_ASSERT_EQUAL(1U, rise.limit());
    }

    // Guards against growth in the time before anybody knows whether the engine is cold.
    void awaitsTheFirstReport()
    {
        ramp rise(core::engine_name("e"), 16, 2);
        rise.setAwaitsReport(true);
        complete(rise, 20);
        CPPUNIT_ASSERT_EQUAL(2U, rise.limit());

        constexpr std::uint64_t noLoadPage = 0;
        rise.onLoadReport(noLoadPage, false);
        complete(rise, 2);
        CPPUNIT_ASSERT_EQUAL(4U, rise.limit());
    }

private:
    static void complete(ramp &rise, int responses)
    {
        for (int i = 0; i < responses; ++i)
            rise.onCompletedInTime(rise.generation());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ramp_report_test);
