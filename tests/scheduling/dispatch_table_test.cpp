#include "scheduling/dispatch_table.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

using namespace comfreypass;
using namespace comfreypass::scheduling;
using std::chrono::milliseconds;

class dispatch_table_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(dispatch_table_test);
    CPPUNIT_TEST(dispatchIsRemovedOnlyOnceProvenOver);
    CPPUNIT_TEST(newestOfTheLowestTierIsTheVictim);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a slot that is freed while the permit may still be in transit.
    void dispatchIsRemovedOnlyOnceProvenOver()
    {
        dispatch_table table;
        table.add(make(1, 0, 0));
        table.add(make(2, 0, 0));
        table.recordListed({7, 2}, 11);
        CPPUNIT_ASSERT(table.removeAbsent(7, 11, {}).empty());
        CPPUNIT_ASSERT(table.removeAbsent(7, 12, {{7, 2}}).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.removeAbsent(7, 12, {}).size());
        CPPUNIT_ASSERT(table.find({7, 1}) != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.removeAbsent(7, 13, {}).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, table.size());
    }

    // Guards against the preemption of a tier that is not the lowest, or of an older dispatch.
    void newestOfTheLowestTierIsTheVictim()
    {
        dispatch_table table;
        table.add(make(1, 3, 10));
        table.add(make(2, 4, 20));
        table.add(make(3, 4, 30));
        const auto any = [](const dispatch_table::record &) {
            return true;
        };
        CPPUNIT_ASSERT(table.victimBelow(3, any)->ref.request == 3);
        table.markPreempting({7, 3}, at(40));
        CPPUNIT_ASSERT(table.victimBelow(2, any)->ref.request == 2);
        CPPUNIT_ASSERT(table.victimBelow(4, any) == nullptr);
        CPPUNIT_ASSERT(table.preemptOrdersBefore(at(40), at(50)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.preemptOrdersBefore(at(41), at(50)).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, table.removeExpired(at(1'000)).size());
        CPPUNIT_ASSERT(!table.preemptibleBelow(0));
    }

private:
    static core::time_point at(int millis) { return core::time_point{milliseconds{millis}}; }

    static dispatch_table::record make(std::uint64_t id, core::tier tier, int since)
    {
        dispatch_table::record made;
        made.ref = {7, id};
        made.tier = tier;
        made.since = at(since);
        made.deadline = at(1'000);
        made.leaseSequence = 10;
        return made;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(dispatch_table_test);
