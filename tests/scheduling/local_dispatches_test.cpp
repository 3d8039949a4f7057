#include "scheduling/local_dispatches.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

using namespace comfreypass;
using namespace comfreypass::scheduling;
using std::chrono::milliseconds;

class local_dispatches_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(local_dispatches_test);
    CPPUNIT_TEST(permitIsUsedOnceAndInTime);
    CPPUNIT_TEST(votesListRunningAndUsable);
    CPPUNIT_TEST(lateCopyOfAFinishedPermitIsRefused);
    CPPUNIT_TEST(tableIsBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two dispatches with one permit, and against a dispatch with an expired one.
    void permitIsUsedOnceAndInTime()
    {
        local_dispatches table;
        CPPUNIT_ASSERT(grant(table, 1, 0));
        CPPUNIT_ASSERT(table.start(1, at(999)));
        CPPUNIT_ASSERT(!table.start(1, at(999)));
        CPPUNIT_ASSERT(grant(table, 2, 0));
        CPPUNIT_ASSERT(!table.start(2, at(1'000)));
    }

    // Guards against a dispatch that is not reported to a new scheduler.
    void votesListRunningAndUsable()
    {
        local_dispatches table;
        grant(table, 1, 0);
        grant(table, 2, 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, table.running(upstream()).size());
        table.start(1, at(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.dropExpired(at(1'000)).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.running(upstream()).size());
        CPPUNIT_ASSERT(table.running(core::upstream_name{"other"}).empty());
    }

    // Guards against the use of a permit whose release is in transit to the scheduler.
    void lateCopyOfAFinishedPermitIsRefused()
    {
        local_dispatches table;
        grant(table, 1, 0);
        CPPUNIT_ASSERT(table.finish(1));
        CPPUNIT_ASSERT(!grant(table, 1, 10));
    }

    // Guards against unbounded growth of the table.
    void tableIsBounded()
    {
        local_dispatches table(1);
        CPPUNIT_ASSERT(grant(table, 1, 0));
        CPPUNIT_ASSERT(!grant(table, 2, 0));
    }

private:
    static core::time_point at(int millis) { return core::time_point{milliseconds{millis}}; }
    static core::upstream_name upstream() { return core::upstream_name{"asesor-modelo"}; }

    static bool grant(local_dispatches &table, std::uint64_t id, int millis)
    {
        permit_grant permit;
        permit.request = id;
        permit.permit = id;
        permit.upstream = upstream();
        permit.validFor = milliseconds{1'000};
        permit_request request;
        request.request = id;
        request.deadline = at(millis + 20'000);
        return table.onGrant({core::node_name{"a"}, 1}, permit, request, at(millis));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(local_dispatches_test);
