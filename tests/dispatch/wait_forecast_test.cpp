#include "dispatch/wait_forecast.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

using namespace comfreypass;
using namespace comfreypass::dispatch;
using namespace std::chrono_literals;

class wait_forecast_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(wait_forecast_test);
    CPPUNIT_TEST(urgentArrivalsLengthenTheWait);
    CPPUNIT_TEST(someRequestIsAlwaysAdmitted);
    CPPUNIT_TEST(notRefusedWhileLessUrgentIsGranted);
    CPPUNIT_TEST_SUITE_END();

    core::time_point m_now{10h};
    wait_forecast m_forecast;

    /** Ten slots a second, of which `urgentOfTen` of ten go to priority 0 and the others to 1. */
    void play(int urgentOfTen)
    {
        for (int i = 0; i < 200; ++i, m_now += 100ms) {
            const std::uint32_t priority = i % 10 < urgentOfTen ? 0 : 1;
            m_forecast.onAdmitted(priority, false, m_now);
            m_forecast.onGranted(priority, m_now);
        }
        m_now += 300ms;
    }

public:
    // Guards against counting slots that more urgent requests will take.
    void urgentArrivalsLengthenTheWait()
    {
        play(5);
        const core::duration urgent = m_forecast.expectedWait({.priority = 0, .ahead = 5}, m_now);
        CPPUNIT_ASSERT(urgent > 400ms && urgent < 800ms);
        const core::duration other = m_forecast.expectedWait({.priority = 1, .ahead = 5}, m_now);
        CPPUNIT_ASSERT(other > urgent + 300ms && other < 2s);
        // Requests of its priority that can be on time overtake a late one.
        CPPUNIT_ASSERT(m_forecast.expectedWait({.priority = 1, .ahead = 5, .isLate = true}, m_now)
                       > 10s);
    }

    // Guards against a forecast that refuses everything and so is never corrected.
    void someRequestIsAlwaysAdmitted()
    {
        play(10);
        CPPUNIT_ASSERT(!m_forecast.mustRefuse({.priority = 1}, 1s, m_now));
        CPPUNIT_ASSERT(!m_forecast.mustRefuse({.priority = 1, .ahead = 3}, 1s, m_now));
        CPPUNIT_ASSERT(m_forecast.mustRefuse({.priority = 1, .ahead = 3}, 1s, m_now + 100ms));
        CPPUNIT_ASSERT(!m_forecast.mustRefuse({.priority = 1, .ahead = 99}, 1s, m_now + 1s));
    }

    // Guards against shedding a priority while a less urgent one is served.
    void notRefusedWhileLessUrgentIsGranted()
    {
        play(10);
        m_forecast.mustRefuse({.priority = 1, .ahead = 9}, 0s, m_now);
        CPPUNIT_ASSERT(m_forecast.mustRefuse({.priority = 1, .ahead = 9}, 0s, m_now));
        m_forecast.onGranted(2, m_now);
        CPPUNIT_ASSERT(!m_forecast.mustRefuse({.priority = 1, .ahead = 9}, 0s, m_now));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(wait_forecast_test);
