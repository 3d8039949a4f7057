#include "scheduling/tier_queue.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>

using namespace comfreypass;
using namespace comfreypass::scheduling;
using std::chrono::milliseconds;

class tier_queue_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(tier_queue_test);
    CPPUNIT_TEST(teamsShareByWeight);
    CPPUNIT_TEST(latestStartOrdersWithinATeam);
    CPPUNIT_TEST(newestOfTheLowestTierIsDisplaced);
    CPPUNIT_TEST(overdueRequestsAreRemoved);
    CPPUNIT_TEST(suspendedNodesAreNotOffered);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against starvation of other teams by one team that fills a tier.
    void teamsShareByWeight()
    {
        tier_queue queue(400);
        for (std::uint64_t i = 0; i < 100; ++i)
            queue.push(make(i, "large", 2), 3);
        for (std::uint64_t i = 100; i < 200; ++i)
            queue.push(make(i, "little", 2), 1);
        int large = 0;
        for (int i = 0; i < 40; ++i) {
            const queued_request next = queue.pop(2, tier_queue::lane::Small);
            large += next.request.team.text() == "large" ? 1 : 0;
        }
        CPPUNIT_ASSERT(large >= 29 && large <= 31);
    }

    // Guards against a request that misses its deadline behind a less urgent one of its team.
    void latestStartOrdersWithinATeam()
    {
        tier_queue queue(4);
        queue.push(make(1, "a", 0, 900), 1);
        queue.push(make(2, "a", 0, 300), 1);
        CPPUNIT_ASSERT(queue.pop(0, tier_queue::lane::Small).request.request == 2);
        CPPUNIT_ASSERT(queue.head(0, tier_queue::lane::Large) == nullptr);
    }

    // Guards against displacement of a tier that is not the lowest, or of an older request.
    void newestOfTheLowestTierIsDisplaced()
    {
        tier_queue queue(3);
        queue.push(make(1, "a", 1), 1);
        queue.push(make(2, "a", 3), 1);
        queue.push(make(3, "b", 3), 1);
        CPPUNIT_ASSERT(queue.full());
        CPPUNIT_ASSERT(!queue.displaceBelow(3));
        CPPUNIT_ASSERT(queue.displaceBelow(1)->request.request == 3);
        CPPUNIT_ASSERT(queue.displaceBelow(1)->request.request == 2);
        CPPUNIT_ASSERT(!queue.displaceBelow(1));
    }

    // Guards against the dispatch of requests that can no longer meet their deadline.
    void overdueRequestsAreRemoved()
    {
        tier_queue queue(3);
        queue.push(make(1, "a", 1, 100), 1);
        queue.push(make(2, "a", 1, 200), 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queue.removeOverdue(at(150)).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queue.startingBefore(at(250), 8).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queue.size(1));
    }

    // Guards against grants to a node whose vote is not held, and against the loss of its requests.
    void suspendedNodesAreNotOffered()
    {
        tier_queue queue(3);
        queue.push(make(1, "a", 1), 1);
        queue.suspend(7);
        CPPUNIT_ASSERT(queue.head(1, tier_queue::lane::Small) == nullptr);
        queue.push(make(2, "a", 1), 1);
        CPPUNIT_ASSERT(queue.head(1, tier_queue::lane::Small) == nullptr);
        queue.resume(7);
        CPPUNIT_ASSERT(queue.head(1, tier_queue::lane::Small) != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, queue.removeNode(7).size());
        CPPUNIT_ASSERT(queue.empty());
    }

private:
    static core::time_point at(int millis) { return core::time_point{milliseconds{millis}}; }

    static queued_request make(std::uint64_t id, const char *team, core::tier tier,
                               int latestStart = 1'000)
    {
        queued_request made;
        made.ref = {7, id};
        made.request.request = id;
        made.request.team = core::team_name{team};
        made.request.tier = tier;
        made.request.cost = {100, 0};
        made.latestStart = at(latestStart);
        made.small = true;
        return made;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(tier_queue_test);
