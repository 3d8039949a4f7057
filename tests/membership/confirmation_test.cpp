#include "membership/confirmation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

using namespace comfreypass;
using namespace std::chrono_literals;
using membership::confirmation;

class confirmation_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(confirmation_test);
    CPPUNIT_TEST(ageIsMeasuredFromTheSendTime);
    CPPUNIT_TEST(differentSheetsDoNotConfirm);
    CPPUNIT_TEST(pauseDiscardsEarlierConfirmations);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against network delays that make an old confirmation appear recent.
    void ageIsMeasuredFromTheSendTime()
    {
        confirmation known;
        CPPUNIT_ASSERT(!known.age(m_now));
        known.onAck(m_key, m_key, 1s, m_now - 2s);
        CPPUNIT_ASSERT(known.age(m_now) == core::duration(3s));
        known.onAck(m_key, m_key, 9s, m_now);
        CPPUNIT_ASSERT(known.age(m_now) == core::duration(3s));
        known.onServiceRead(m_key, m_key, m_now);
        CPPUNIT_ASSERT(known.age(m_now + 1s) == core::duration(1s));
    }

    // Guards against an outdated sheet that is confirmed by a stale service or a peer ahead.
    void differentSheetsDoNotConfirm()
    {
        confirmation known;
        known.onServiceRead({1, 1, 1}, m_key, m_now);
        known.onServiceRead({3, 3, 3}, m_key, m_now);
        known.onAck({3, 3, 3}, m_key, 0s, m_now);
        known.onAck(m_key, m_key, std::nullopt, m_now);
        CPPUNIT_ASSERT(!known.age(m_now));
        known.onAck({1, 1, 1}, m_key, 0s, m_now);
        CPPUNIT_ASSERT(known.age(m_now));
    }

    // Guards against an ack to a ping from before a pause that confirms the sheet afterwards.
    void pauseDiscardsEarlierConfirmations()
    {
        confirmation known;
        known.onServiceRead(m_key, m_key, m_now);
        known.expire(m_now + 10s);
        known.onAck(m_key, m_key, 0s, m_now + 9s);
        CPPUNIT_ASSERT(!known.age(m_now + 10s));
        known.onAck(m_key, m_key, 0s, m_now + 11s);
        CPPUNIT_ASSERT(known.age(m_now + 11s));
    }

private:
    const core::time_point m_now{1h};
    const sheet::sheet_key m_key{2, 2, 2};
};

CPPUNIT_TEST_SUITE_REGISTRATION(confirmation_test);
