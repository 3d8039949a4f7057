#include "dispatch/wait_queue.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <vector>

using namespace comfreypass;
using namespace comfreypass::dispatch;
using namespace std::chrono_literals;

class wait_queue_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(wait_queue_test);
    CPPUNIT_TEST(higherPriorityIsFirst);
    CPPUNIT_TEST(requestThatCanMeetItsObjectivePrecedesALateOne);
    CPPUNIT_TEST(lateRequestsAreNotStarved);
    CPPUNIT_TEST(requestsAfterAPassedOverOneKeepTheirOrder);
    CPPUNIT_TEST(expiredRequestsAreRemoved);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a lower priority that is served before a higher one.
    void higherPriorityIsFirst()
    {
        wait_queue queue;
        queue.push({1, 2, m_now + 1s, m_now + 2s});
        queue.push({2, 0, m_now + 1s, m_now + 2s});
        queue.push({3, 1, m_now + 1s, m_now + 2s});
        CPPUNIT_ASSERT_EQUAL(core::request_id{2}, queue.next(m_now)->id);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queue.ahead(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, queue.ahead(2));
    }

    // Guards against a burst that makes all later requests late.
    void requestThatCanMeetItsObjectivePrecedesALateOne()
    {
        wait_queue queue;
        queue.push({1, 0, m_now - 1ms, m_now + 2s});
        queue.push({2, 0, m_now + 100ms, m_now + 2s});
        CPPUNIT_ASSERT_EQUAL(core::request_id{2}, queue.next(m_now)->id);
    }

    // Guards against late requests that are never served although slots are free.
    void lateRequestsAreNotStarved()
    {
        wait_queue queue;
        queue.push({1, 0, m_now - 2s, m_now + 2s});
        queue.push({2, 0, m_now - 1s, m_now + 2s});
        CPPUNIT_ASSERT_EQUAL(core::request_id{1}, queue.next(m_now)->id);
        CPPUNIT_ASSERT(queue.remove(1));
        CPPUNIT_ASSERT_EQUAL(core::request_id{2}, queue.next(m_now)->id);
        CPPUNIT_ASSERT(queue.remove(2));
        CPPUNIT_ASSERT(!queue.remove(2));
        CPPUNIT_ASSERT(!queue.next(m_now));
    }

    // Guards against a lower priority or a late request that takes a slot first when one is passed
    // over.
    void requestsAfterAPassedOverOneKeepTheirOrder()
    {
        wait_queue queue;
        queue.push({1, 0, m_now + 1s, m_now + 2s});
        queue.push({2, 0, m_now - 1s, m_now + 2s});
        queue.push({3, 0, m_now + 1s, m_now + 2s});
        queue.push({4, 1, m_now + 1s, m_now + 2s});
        CPPUNIT_ASSERT(queue.inOrder(m_now) == std::vector<core::request_id>({1, 3, 2, 4}));
    }

    // Guards against requests that stay queued after their deadline.
    void expiredRequestsAreRemoved()
    {
        wait_queue queue;
        queue.push({1, 0, m_now, m_now + 1s});
        queue.push({2, 1, m_now, m_now + 3s});
        const auto expired = queue.takeExpired(m_now + 1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, expired.size());
        CPPUNIT_ASSERT_EQUAL(core::request_id{1}, expired.front().id);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queue.size());
        CPPUNIT_ASSERT_EQUAL(1U, *queue.highestPriority());
    }

private:
    core::time_point m_now{1h};
};

CPPUNIT_TEST_SUITE_REGISTRATION(wait_queue_test);
