#include "http1/memory_budget.h"
#include "http1/memory_reservation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <functional>
#include <list>
#include <vector>

using namespace comfreypass;
using namespace comfreypass::http1;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t megabyte = 1'048'576;
constexpr std::size_t body = 4 * megabyte;

/** A caller's connection that frees its memory when it is asked to. */
struct holder
{
    holder(memory_budget &budget, std::uint32_t address)
        : reservation(budget, address, [this] {
              ++reclaims;
              reservation.resize(0);
          })
    { }

    int reclaims = 0;
    memory_reservation reservation;
};

} // namespace

class memory_budget_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(memory_budget_test);
    CPPUNIT_TEST(smallestMachineServesSeveralLargeBodies);
    CPPUNIT_TEST(smallRequestsAreAdmittedBesideLargeBodies);
    CPPUNIT_TEST(oneAddressLeavesRoomForOthers);
    CPPUNIT_TEST(oldestHolderWithoutProgressIsReclaimedFirst);
    CPPUNIT_TEST(incompleteRequestIsReclaimedBeforeAResponse);
    CPPUNIT_TEST(holdersWithProgressAreKept);
    CPPUNIT_TEST(holderThatKeepsItsMemoryIsAskedOnce);
    CPPUNIT_TEST(memoryIsReleasedWithItsReservation);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a default budget that refuses legal bodies in calm.
    void smallestMachineServesSeveralLargeBodies()
    {
        // Nine sixteenths of the budget are the share of an address.
        CPPUNIT_ASSERT_EQUAL(9, admitted(64 * megabyte, {1}));
        CPPUNIT_ASSERT_EQUAL(1, admitted(8 * megabyte, {1}));
    }

    // Guards against large bodies that leave no room for ordinary callers.
    void smallRequestsAreAdmittedBesideLargeBodies()
    {
        memory_budget budget(32 * megabyte);
        std::list<holder> crowd;
        fill(budget, crowd, {1, 2, 3});
        holder ordinary(budget, 1);
        CPPUNIT_ASSERT(ordinary.reservation.tryResize(65'536, m_now));
        CPPUNIT_ASSERT(!ordinary.reservation.tryResize(body, m_now));
        CPPUNIT_ASSERT_EQUAL(std::size_t{65'536}, ordinary.reservation.bytes());
    }

    // Guards against one group of callers that takes the whole budget.
    void oneAddressLeavesRoomForOthers()
    {
        memory_budget budget(64 * megabyte);
        std::list<holder> crowd;
        fill(budget, crowd, {1});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, budget.counts().refusedByShare);
        holder other(budget, 2);
        CPPUNIT_ASSERT(other.reservation.tryResize(body, m_now));
    }

    // Guards against callers that stop short of the end and keep others out.
    void oldestHolderWithoutProgressIsReclaimedFirst()
    {
        memory_budget budget(16 * megabyte);
        holder first(budget, 1);
        holder second(budget, 2);
        CPPUNIT_ASSERT(first.reservation.tryResize(body, m_now));
        CPPUNIT_ASSERT(second.reservation.tryResize(body, m_now));
        first.reservation.setReclaimable(reclaim_order::IncompleteRequest, m_now + 10ms);
        second.reservation.setReclaimable(reclaim_order::IncompleteRequest, m_now);
        holder third(budget, 3);
        CPPUNIT_ASSERT(third.reservation.tryResize(2 * body, m_now + 1s));
        CPPUNIT_ASSERT_EQUAL(0, first.reclaims);
        CPPUNIT_ASSERT_EQUAL(1, second.reclaims);
    }

    // Guards against complete requests that lose their response while incomplete ones are kept.
    void incompleteRequestIsReclaimedBeforeAResponse()
    {
        memory_budget budget(16 * megabyte);
        holder unread(budget, 1);
        holder incomplete(budget, 2);
        unread.reservation.resize(body);
        incomplete.reservation.resize(body);
        unread.reservation.setReclaimable(reclaim_order::UnreadResponse, m_now);
        incomplete.reservation.setReclaimable(reclaim_order::IncompleteRequest, m_now + 100ms);
        CPPUNIT_ASSERT(budget.reclaimOldest(m_now + 1s));
        CPPUNIT_ASSERT_EQUAL(1, incomplete.reclaims);
        CPPUNIT_ASSERT(!budget.reclaimOldestIncomplete(m_now + 1s));
        CPPUNIT_ASSERT(budget.reclaimOldest(m_now + 1s));
        CPPUNIT_ASSERT_EQUAL(1, unread.reclaims);
    }

    // Guards against the end of requests that are still arriving, or that are complete.
    void holdersWithProgressAreKept()
    {
        memory_budget budget(16 * megabyte);
        holder arriving(budget, 1);
        holder complete(budget, 2);
        CPPUNIT_ASSERT(arriving.reservation.tryResize(body, m_now));
        CPPUNIT_ASSERT(complete.reservation.tryResize(body, m_now));
        complete.reservation.setReclaimable(reclaim_order::IncompleteRequest, m_now);
        complete.reservation.setNotReclaimable();
        arriving.reservation.setReclaimable(reclaim_order::IncompleteRequest, m_now + 900ms);
        holder third(budget, 3);
        CPPUNIT_ASSERT(!third.reservation.tryResize(2 * body, m_now + 1s));
        CPPUNIT_ASSERT_EQUAL(0, arriving.reclaims + complete.reclaims);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, budget.counts().refusedByLimit);
    }

    // Guards against an endless search for memory.
    void holderThatKeepsItsMemoryIsAskedOnce()
    {
        memory_budget budget(8 * megabyte);
        int asked = 0;
        memory_reservation stubborn(budget, 1, [&asked] { ++asked; });
        CPPUNIT_ASSERT(stubborn.tryResize(body, m_now));
        stubborn.setReclaimable(reclaim_order::IncompleteRequest, m_now);
        holder other(budget, 2);
        CPPUNIT_ASSERT(!other.reservation.tryResize(body, m_now + 1s));
        CPPUNIT_ASSERT_EQUAL(1, asked);
    }

    // Guards against a budget that fills up by connections that have ended.
    void memoryIsReleasedWithItsReservation()
    {
        memory_budget budget(64 * megabyte);
        for (int i = 0; i < 100; ++i) {
            holder each(budget, 1);
            CPPUNIT_ASSERT(each.reservation.tryResize(body, m_now));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, budget.usedBytes());
        CPPUNIT_ASSERT(!budget.reclaimOldest(m_now));
    }

private:
    /** Adds bodies of each address in turn until one of each is refused. */
    void fill(memory_budget &budget, std::list<holder> &crowd,
              const std::vector<std::uint32_t> &addresses)
    {
        for (const std::uint32_t address : addresses) {
            do
                crowd.emplace_back(budget, address);
            while (crowd.back().reservation.tryResize(body, m_now));
            crowd.pop_back();
        }
    }

    int admitted(std::size_t limit, const std::vector<std::uint32_t> &addresses)
    {
        memory_budget budget(limit);
        std::list<holder> crowd;
        fill(budget, crowd, addresses);
        return static_cast<int>(crowd.size());
    }

    core::time_point m_now = core::time_point() + 1h;
};

CPPUNIT_TEST_SUITE_REGISTRATION(memory_budget_test);
