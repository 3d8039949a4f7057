#include "membership/failure_detector.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <vector>

using namespace comfreypass;
using namespace comfreypass::membership;
using namespace std::chrono_literals;

class failure_detector_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(failure_detector_test);
    CPPUNIT_TEST(unreachableNeighbourIsSuspectedThenExpires);
    CPPUNIT_TEST(responsiveNeighbourIsNotSuspected);
    CPPUNIT_TEST(refutationCancelsTheSuspicion);
    CPPUNIT_TEST(pauseIsDetectedAndCausesNoSuspicion);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { m_now = core::time_point(1h); }

    // Guards against a crashed node that is not detected, and against suspicion after one miss.
    void unreachableNeighbourIsSuspectedThenExpires()
    {
        failure_detector detector = makeDetector();
        const auto suspected = advanceUntilSuspect(detector, false);
        CPPUNIT_ASSERT(suspected >= 1500ms && suspected <= 2100ms);
        detector.beginSuspicion(m_name, m_now);
        const core::time_point begin = m_now;
        while (detector.tick(m_now).expiredSuspicions.empty() && m_now - begin < 10s)
            m_now += 50ms;
        CPPUNIT_ASSERT(m_now - begin == 1500ms);
    }

    // Guards against suspicion of a neighbour that acks its pings.
    void responsiveNeighbourIsNotSuspected()
    {
        failure_detector detector = makeDetector();
        CPPUNIT_ASSERT(advanceUntilSuspect(detector, true) == 30s);
    }

    // Guards against a member that is declared dead although it refuted the suspicion.
    void refutationCancelsTheSuspicion()
    {
        failure_detector detector = makeDetector();
        const auto first = advanceUntilSuspect(detector, false);
        detector.beginSuspicion(m_name, m_now);
        detector.endSuspicion(m_name, true);
        CPPUNIT_ASSERT(advanceUntilSuspect(detector, false) > first);
        CPPUNIT_ASSERT(!m_expired);
    }

    // Guards against a process that declares its neighbours dead when it resumes after a pause.
    void pauseIsDetectedAndCausesNoSuspicion()
    {
        failure_detector detector = makeDetector();
        detector.tick(m_now);
        detector.beginSuspicion(m_name, m_now);
        CPPUNIT_ASSERT(!detector.wasPaused(m_now + 550ms));
        m_now += 5s;
        CPPUNIT_ASSERT(detector.wasPaused(m_now));
        const auto step = detector.tick(m_now);
        CPPUNIT_ASSERT(step.paused && step.newSuspects.empty() && step.expiredSuspicions.empty());
        CPPUNIT_ASSERT(detector.pausedUntil() == m_now && !detector.wasPaused(m_now));
        detector.endSuspicion(m_name, false);
        CPPUNIT_ASSERT(advanceUntilSuspect(detector, false) >= 3s);
    }

private:
    failure_detector makeDetector() const
    {
        failure_detector detector({}, m_now);
        detector.setNeighbours(std::vector{m_name}, m_now, 1);
        return detector;
    }
    core::duration advanceUntilSuspect(failure_detector &detector, bool sendAcks)
    {
        const core::time_point begin = m_now;
        while (m_now - begin < 30s) {
            m_now += 50ms;
            const auto step = detector.tick(m_now);
            m_expired = m_expired || !step.expiredSuspicions.empty();
            if (!step.newSuspects.empty())
                break;
            if (sendAcks && !step.toPing.empty())
                detector.onAck(m_name, m_now);
        }
        return m_now - begin;
    }

    const core::node_name m_name{"entry-1"};
    core::time_point m_now;
    bool m_expired = false;
};

CPPUNIT_TEST_SUITE_REGISTRATION(failure_detector_test);
