#include "dispatch/service_share.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

using namespace comfreypass;
using namespace comfreypass::dispatch;
using namespace std::chrono_literals;

class service_share_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(service_share_test);
    CPPUNIT_TEST(shortRequestsAreServedHalfAsOftenAsLongerOnes);
    CPPUNIT_TEST(theMostUrgentPriorityIsNotOvertaken);
    CPPUNIT_TEST(longRequestsDoNotOvertake);
    CPPUNIT_TEST(otherTeamsAreNotOvertaken);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a kind of short requests that starves in a lasting overload.
    void shortRequestsAreServedHalfAsOftenAsLongerOnes()
    {
        int granted[3] = {};
        // Capacity of 20 tokens a millisecond for 40: the third priority would get nothing.
        double free = 0;
        for (int i = 0; i < 20'000; ++i, m_now += 1ms) {
            free += 20;
            m_shares.onAsked(2, 24, m_now);
            m_shares.onAsked(1, 288, m_now);
            if (free <= 0)
                continue;
            const bool overtakes = m_shares.effectivePriority(2, m_now) < 2;
            const std::uint32_t next = overtakes ? 2 : 1;
            m_shares.onGranted(next, m_now);
            ++granted[next];
            free -= overtakes ? 24 : 288;
            if (i % 10 == 0) {
                m_shares.onAsked(0, 384, m_now);
                m_shares.onGranted(0, m_now);
            }
        }
        // The more urgent kind is served more often; the other at least half as often.
        CPPUNIT_ASSERT(granted[2] <= granted[1]);
        CPPUNIT_ASSERT(granted[2] >= granted[1] / 2);
    }

    // Guards against urgent requests that wait for less urgent ones.
    void theMostUrgentPriorityIsNotOvertaken()
    {
        ask(0, 384, 0.5);
        ask(2, 24, 0.1);
        CPPUNIT_ASSERT_EQUAL(2U, m_shares.effectivePriority(2, m_now));
    }

    // Guards against a request that holds a slot for as long as the more urgent ones it overtakes.
    void longRequestsDoNotOvertake()
    {
        ask(0, 24, 1);
        ask(1, 288, 0.5);
        ask(2, 100, 0.1);
        CPPUNIT_ASSERT_EQUAL(2U, m_shares.effectivePriority(2, m_now));
    }

    // Guards against requests that overtake those of teams with a higher priority.
    void otherTeamsAreNotOvertaken()
    {
        ask(0, 384, 1);
        ask(1, 288, 0.5);
        ask(18, 24, 0.1);
        CPPUNIT_ASSERT_EQUAL(18U, m_shares.effectivePriority(18, m_now));
        ask(16, 384, 1);
        ask(17, 288, 0.5);
        CPPUNIT_ASSERT_EQUAL(17U, m_shares.effectivePriority(18, m_now));
    }

private:
    void ask(std::uint32_t priority, double tokens, double share)
    {
        for (int i = 0; i < 100; ++i) {
            m_shares.onAsked(priority, tokens, m_now);
            if (i < 100 * share)
                m_shares.onGranted(priority, m_now);
        }
    }

    core::time_point m_now{1h};
    service_share m_shares;
};

CPPUNIT_TEST_SUITE_REGISTRATION(service_share_test);
