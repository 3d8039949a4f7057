#include "dispatch/caller_age.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

using namespace comfreypass;
using namespace comfreypass::dispatch;
using namespace std::chrono_literals;

class caller_age_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(caller_age_test);
    CPPUNIT_TEST(secondAttemptIsOlder);
    CPPUNIT_TEST(longestTimeoutIsForgotten);
    CPPUNIT_TEST(overstatedTimeoutIsLimited);
    CPPUNIT_TEST_SUITE_END();

    const core::time_point m_now{10h};
    caller_age m_ages;

public:
    // Guards against second attempts that count as on time because their objective starts anew.
    void secondAttemptIsOlder()
    {
        CPPUNIT_ASSERT(m_ages.onRequest("a", 10s, 12s, m_now) == 0s);
        CPPUNIT_ASSERT(m_ages.onRequest("a", 7s, 12s, m_now + 3s) == 3s);
        CPPUNIT_ASSERT(m_ages.onRequest("b", 7s, 12s, m_now + 3s) == 0s);
    }

    // Guards against callers that count as old for ever after their timeout was shortened.
    void longestTimeoutIsForgotten()
    {
        m_ages.onRequest("a", 10s, 12s, m_now);
        CPPUNIT_ASSERT(m_ages.onRequest("a", 5s, 12s, m_now + 61s) == 5s);
        CPPUNIT_ASSERT(m_ages.onRequest("a", 5s, 12s, m_now + 122s) == 0s);
    }

    // Guards against one caller with a huge timeout making all others look old.
    void overstatedTimeoutIsLimited()
    {
        m_ages.onRequest("a", 24h, 12s, m_now);
        CPPUNIT_ASSERT(m_ages.onRequest("a", 12s, 12s, m_now) == 0s);
        CPPUNIT_ASSERT(m_ages.onRequest("a", 0s, 12s, m_now) == 12s);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(caller_age_test);
