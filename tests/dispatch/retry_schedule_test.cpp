#include "dispatch/retry_schedule.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

using namespace comfreypass;
using namespace comfreypass::dispatch;
using namespace std::chrono_literals;

class retry_schedule_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(retry_schedule_test);
    CPPUNIT_TEST(withoutPressureAsUsual);
    CPPUNIT_TEST(pressureSpreadsTheReturn);
    CPPUNIT_TEST_SUITE_END();

    core::time_point m_now{10h};
    retry_schedule m_schedule;

public:
    // Guards against long delays outside an overload, and against delays that callers ignore.
    void withoutPressureAsUsual()
    {
        for (const double random : {0.0, 1.0})
            CPPUNIT_ASSERT(m_schedule.delay(0, 300ms, 12s, random, m_now) == 300ms);
        CPPUNIT_ASSERT(m_schedule.delay(0, 300ms, 600ms, 0.5, m_now) == 200ms);
        CPPUNIT_ASSERT(m_schedule.delay(0, 300ms, -1s, 0.5, m_now) == 0s);
    }

    // Guards against refused callers that return into the same overload: all are refused.
    void pressureSpreadsTheReturn()
    {
        for (int i = 0; i < 20; ++i) {
            m_schedule.onAsked(1, m_now);
            m_schedule.onRefused(1, m_now);
        }
        CPPUNIT_ASSERT(m_schedule.pressure(1, m_now) > 0.9);
        CPPUNIT_ASSERT(m_schedule.pressure(0, m_now) == 0);
        CPPUNIT_ASSERT(m_schedule.delay(1, 300ms, 12s, 0, m_now) == 2s);
        CPPUNIT_ASSERT(m_schedule.delay(1, 300ms, 12s, 1, m_now) == 4s);
        CPPUNIT_ASSERT(m_schedule.pressure(1, m_now + 10s) < 0.2);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(retry_schedule_test);
