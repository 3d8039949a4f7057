#include "gateway/source_monitor.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

using namespace comfreypass;
using namespace comfreypass::gateway;
using namespace std::chrono_literals;
using dispatch::source_state;

class source_monitor_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(source_monitor_test);
    CPPUNIT_TEST(readerWithoutAnswerIsNoOutage);
    CPPUNIT_TEST(outageHoldsRemovals);
    CPPUNIT_TEST(recoveryDoesNotExtendTheHold);
    CPPUNIT_TEST(lossOfOneReaderHoldsNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against keeping removed engines because all readers have just been replaced.
    void readerWithoutAnswerIsNoOutage()
    {
        m_monitor.setReading(true);
        CPPUNIT_ASSERT(m_monitor.state() == source_state::Starting);
        m_monitor.onAvailability(collection_id::Engines, true);
        CPPUNIT_ASSERT(m_monitor.state() == source_state::Starting);
        CPPUNIT_ASSERT(heldUntil(false, false) <= m_now);
        m_monitor.onAvailability(collection_id::Operators, true);
        CPPUNIT_ASSERT(m_monitor.state() == source_state::Working);
    }

    // Guards against dropping engines whose entries expired during an outage.
    void outageHoldsRemovals()
    {
        m_monitor.setReading(true);
        m_monitor.onAvailability(collection_id::Operators, true);
        m_monitor.onAvailability(collection_id::Engines, false);
        CPPUNIT_ASSERT(m_monitor.state() == source_state::Lost);
        CPPUNIT_ASSERT(heldUntil(false, false) == m_now + source_monitor::expiredEntryRetention);
        m_monitor.setReading(false);
        m_now += 1s;
        CPPUNIT_ASSERT(heldUntil(false, true) == m_now + source_monitor::expiredEntryRetention);
    }

    // Guards against holding a removal for twice the retention after an outage.
    void recoveryDoesNotExtendTheHold()
    {
        m_monitor.setReading(true);
        m_monitor.onAvailability(collection_id::Operators, false);
        m_monitor.onAvailability(collection_id::Engines, true);
        const core::time_point end = heldUntil(false, true);
        m_monitor.onAvailability(collection_id::Operators, true);
        m_now += 2s;
        CPPUNIT_ASSERT(heldUntil(false, true) == end);
    }

    // Guards against holding removals while another reader sees the source work.
    void lossOfOneReaderHoldsNothing()
    {
        m_monitor.setReading(true);
        m_monitor.onAvailability(collection_id::Engines, false);
        CPPUNIT_ASSERT(heldUntil(true, true) <= m_now);
    }

private:
    core::time_point heldUntil(bool availableAtPeer, bool lostAtPeer)
    {
        return m_monitor.removalsHeldUntil(availableAtPeer, lostAtPeer, m_now);
    }

    core::time_point m_now{10h};
    source_monitor m_monitor;
};

CPPUNIT_TEST_SUITE_REGISTRATION(source_monitor_test);
