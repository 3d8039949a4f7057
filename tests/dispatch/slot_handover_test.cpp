#include "dispatch/slot_handover.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <vector>

using namespace comfreypass;
using namespace comfreypass::dispatch;
using namespace std::chrono_literals;

class slot_handover_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(slot_handover_test);
    CPPUNIT_TEST(slotIsLeftToAMoreUrgentPeerOnly);
    CPPUNIT_TEST(equallyUrgentPeersContest);
    CPPUNIT_TEST(onlyPeersOfTheEngineCount);
    CPPUNIT_TEST(noMoreSlotsAreYieldedThanReported);
    CPPUNIT_TEST(untakenSlotIsReclaimed);
    CPPUNIT_TEST(takenSlotsRestartTheTime);
    CPPUNIT_TEST(oldReportsAreIgnored);
    CPPUNIT_TEST(statusRenewsAReportAndEndsIt);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { m_handover.setPeers(10, {{1, {20, 30}}, {2, {20}}, {3, {40}}}); }

    // Guards against free slots that go to less urgent requests, and against mutual yields.
    void slotIsLeftToAMoreUrgentPeerOnly()
    {
        report(20, 1, 16);
        CPPUNIT_ASSERT(assess(17, {{1, 1}}) == claims{slot_claim::Yielded});
        CPPUNIT_ASSERT(assess(15, {{1, 1}}) == claims{slot_claim::Open});
        CPPUNIT_ASSERT(assess(16, {{3, 1}}) == claims{slot_claim::Unclaimed});
    }

    // Guards against equally urgent nodes that all take the slot of one report, or all leave it.
    void equallyUrgentPeersContest()
    {
        slot_handover peer;
        peer.setPeers(20, {{1, {10, 30}}});
        peer.onQueueReport(10, {"u", 1, 16}, m_now);
        report(20, 1, 16);
        const std::vector<preferred_slots> engines = {{.engine = 1, .free = 1}};
        const claims own = m_handover.assess("u", 16, engines, m_now);
        const claims others = peer.assess("u", 16, engines, m_now);
        CPPUNIT_ASSERT((own == claims{slot_claim::Open}) != (others == claims{slot_claim::Open}));
        CPPUNIT_ASSERT(own != claims{slot_claim::Yielded} && others != claims{slot_claim::Yielded});
    }

    // Guards against slots left to a peer that does not see them.
    void onlyPeersOfTheEngineCount()
    {
        report(20, 5, 0);
        CPPUNIT_ASSERT(assess(16, {{3, 1}}) == claims{slot_claim::Unclaimed});
    }

    // Guards against idle slots: one queued request is not worth a slot of each shared engine.
    void noMoreSlotsAreYieldedThanReported()
    {
        report(20, 1, 0);
        const claims first = assess(16, {{1, 1}, {2, 1}});
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1}, std::ranges::count(first, slot_claim::Yielded));
        CPPUNIT_ASSERT(assess(16, {{1, 1}, {2, 1}}) == first);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_handover.yieldedCount());
        CPPUNIT_ASSERT(assess(16, {{1, 2}}) == claims{slot_claim::Contested});
    }

    // Guards against slots that stay idle for a peer that is dead or cannot use them.
    void untakenSlotIsReclaimed()
    {
        for (; m_now < core::time_point{} + 10s + 60ms; m_now += 20ms) {
            report(20, 1, 0);
            CPPUNIT_ASSERT(assess(16, {{1, 1}}) == claims{slot_claim::Yielded});
        }
        CPPUNIT_ASSERT(assess(16, {{1, 1}}) == claims{slot_claim::ContestedSettled});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_handover.reclaimedCount());
        m_now += 600ms;
        report(20, 1, 0);
        CPPUNIT_ASSERT(assess(16, {{1, 1}}) == claims{slot_claim::Yielded});
    }

    // Guards against a reclaim from peers that take one slot after another.
    void takenSlotsRestartTheTime()
    {
        for (int i = 0; i < 20; ++i, m_now += 20ms) {
            report(20, 2, 0);
            const std::uint32_t free = i % 2 == 0 ? 2 : 1;
            CPPUNIT_ASSERT(assess(16, {{1, free}}) == claims{slot_claim::Yielded});
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, m_handover.reclaimedCount());
    }

    // Guards against slots left to a node that died, was cut off or was frozen.
    void oldReportsAreIgnored()
    {
        report(20, 1, 0);
        m_now += 101ms;
        CPPUNIT_ASSERT(assess(16, {{1, 1}}) == claims{slot_claim::Unclaimed});
        report(20, 1, 0);
        m_handover.removePeer(20);
        CPPUNIT_ASSERT(assess(16, {{1, 1}}) == claims{slot_claim::Unclaimed});
    }

    // Guards against reports that a lost datagram leaves outdated, and against the total length of
    // a queue that is taken for its urgent requests.
    void statusRenewsAReportAndEndsIt()
    {
        status(20, {{"u", 9, 0}});
        CPPUNIT_ASSERT(assess(16, {{1, 2}}) == claims{slot_claim::Contested});
        report(20, 2, 0);
        m_now += 90ms;
        status(20, {{"u", 9, 0}});
        m_now += 90ms;
        CPPUNIT_ASSERT(assess(16, {{1, 2}}) == claims{slot_claim::Yielded});
        status(20, {});
        CPPUNIT_ASSERT(assess(16, {{1, 2}}) == claims{slot_claim::Unclaimed});
    }

private:
    using claims = std::vector<slot_claim>;
    struct free_slots
    {
        engine_key engine;
        std::uint32_t free;
    };

    void report(std::uint32_t peer, std::uint32_t count, std::uint32_t priority)
    {
        m_handover.onQueueReport(peer, {"u", count, priority}, m_now);
    }

    void status(std::uint32_t peer, const std::vector<node_status::queue_length> &queues)
    {
        m_handover.onStatus(peer, "u", queues, m_now);
    }

    claims assess(std::uint32_t priority, const std::vector<free_slots> &engines)
    {
        std::vector<preferred_slots> slots;
        slots.reserve(engines.size());
        for (const free_slots &each : engines)
            slots.push_back({.engine = each.engine, .free = each.free});
        return m_handover.assess("u", priority, slots, m_now);
    }

    slot_handover m_handover;
    core::time_point m_now = core::time_point{} + 10s;
};

CPPUNIT_TEST_SUITE_REGISTRATION(slot_handover_test);
