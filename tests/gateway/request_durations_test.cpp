#include "gateway/request_durations.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>

using namespace comfreypass;
using namespace std::chrono_literals;

class request_durations_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_durations_test);
    CPPUNIT_TEST(rareLongRequestsAreNotMissed);
    CPPUNIT_TEST(oldRequestsDoNotCountForever);
    CPPUNIT_TEST(unknownRouteHasNoDuration);
    CPPUNIT_TEST(numberOfRoutesIsBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a duration that more requests exceed than was asked for.
    void rareLongRequestsAreNotMissed()
    {
        gateway::request_durations durations;
        for (int i = 0; i < 98; ++i)
            durations.record("r", 100ms);
        durations.record("r", 5s);
        durations.record("r", 5s);
        CPPUNIT_ASSERT(durations.quantile("r", 0.01).value() >= 5s);
        CPPUNIT_ASSERT(durations.quantile("r", 0.01).value() < 6s);
        CPPUNIT_ASSERT(durations.quantile("r", 0.05).value() >= 100ms);
        CPPUNIT_ASSERT(durations.quantile("r", 0.05).value() < 120ms);
    }

    // Guards against refusing requests because of a slow time long ago.
    void oldRequestsDoNotCountForever()
    {
        gateway::request_durations durations;
        for (int i = 0; i < 1'000; ++i)
            durations.record("r", 5s);
        for (int i = 0; i < 100'000; ++i)
            durations.record("r", 100ms);
        CPPUNIT_ASSERT(durations.quantile("r", 0.01).value() < 120ms);
    }

    // Guards against taking a route without requests for a fast one.
    void unknownRouteHasNoDuration()
    {
        const gateway::request_durations durations;
        CPPUNIT_ASSERT(!durations.quantile("r", 0.01));
    }

    // Guards against memory that grows with each route that a configuration ever had.
    void numberOfRoutesIsBounded()
    {
        gateway::request_durations durations;
        for (std::size_t i = 0; i <= gateway::request_durations::maxRoutes; ++i)
            durations.record(std::to_string(i), 1ms);
        const std::string last = std::to_string(gateway::request_durations::maxRoutes);
        CPPUNIT_ASSERT(durations.quantile("0", 0.01));
        CPPUNIT_ASSERT(!durations.quantile(last, 0.01));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_durations_test);
