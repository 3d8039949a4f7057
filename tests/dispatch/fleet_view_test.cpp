#include "dispatch/fleet_view.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>

using namespace comfreypass;
using namespace comfreypass::dispatch;
using namespace std::chrono_literals;

class fleet_view_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fleet_view_test);
    CPPUNIT_TEST(unreachableNodeKeepsItsShare);
    CPPUNIT_TEST(leavingNodeExpiresSoon);
    CPPUNIT_TEST(onlyReachableReadyNodesAreReturned);
    CPPUNIT_TEST(teamUsageIsCountedOnce);
    CPPUNIT_TEST(nodesNamedByPeersAreAdded);
    CPPUNIT_TEST(peersWithLaterRevisionsAreFound);
    CPPUNIT_TEST(laterEraIsAheadOfAHigherRevision);
    CPPUNIT_TEST(fewNodesReadTheSource);
    CPPUNIT_TEST(higherPrioritiesAtPeersAreCounted);
    CPPUNIT_TEST(outdatedUpdatesAreIgnored);
    CPPUNIT_TEST(leavingNodesAreNotActive);
    CPPUNIT_TEST(lostStatusOfLargeFleetKeepsNodesReachable);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two partitions of a fleet that each use up a whole bound.
    void unreachableNodeKeepsItsShare()
    {
        fleet_view view(1, "d1", {});
        view.onStatus(status(2, 1), m_now);
        view.onStatus(status(3, 1), m_now);
        view.onStatus(status(2, 2), m_now + 5s);
        const fleet_share share = view.share(m_now + 5s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, share.known);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, share.reachable);
        view.removeExpired(m_now + 5s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, view.share(m_now + 5s).known);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, view.takeUnreachable(m_now + 5s).size());
        CPPUNIT_ASSERT(view.takeUnreachable(m_now + 5s).empty());
    }

    // Guards against a share that stays reserved for a node that was shut down.
    void leavingNodeExpiresSoon()
    {
        fleet_view view(1, "d1", {});
        node_status leaving = status(2, 1);
        leaving.leaving = true;
        view.onStatus(leaving, m_now);
        view.removeExpired(m_now + 5s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, view.share(m_now + 5s).known);
    }

    // Guards against callers that are sent to a node that has crashed, is leaving or is not ready.
    void onlyReachableReadyNodesAreReturned()
    {
        fleet_view view(1, "d1", {});
        node_status far = status(2, 1);
        far.domain = "d2";
        view.onStatus(far, m_now);
        view.onStatus(status(3, 1), m_now);
        node_status starting = status(4, 1);
        starting.ready = false;
        view.onStatus(starting, m_now);
        node_status leaving = status(5, 1);
        leaving.leaving = true;
        view.onStatus(leaving, m_now);
        const auto ready = view.readyPeers("d1", m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, ready.size());
        CPPUNIT_ASSERT_EQUAL(3U, ready.at(0)->address);
        CPPUNIT_ASSERT_EQUAL(2U, ready.at(1)->address);
        CPPUNIT_ASSERT(view.readyPeers("d1", m_now + 2s).empty());
    }

    // Guards against usage that is subtracted twice, or not at all after a restart.
    void teamUsageIsCountedOnce()
    {
        fleet_view view(1, "d1", {});
        CPPUNIT_ASSERT_EQUAL(100.0, usageOf(view, 1, 1, 100));
        CPPUNIT_ASSERT_EQUAL(50.0, usageOf(view, 1, 2, 150));
        CPPUNIT_ASSERT_EQUAL(0.0, usageOf(view, 1, 2, 150));
        CPPUNIT_ASSERT_EQUAL(0.0, usageOf(view, 1, 1, 100));
        view.onStatus(status(2, 3), m_now);
        CPPUNIT_ASSERT_EQUAL(20.0, usageOf(view, 1, 4, 170));
        CPPUNIT_ASSERT_EQUAL(30.0, usageOf(view, 2, 1, 30));
    }

    // Guards against a fleet that stays partitioned because its nodes have different seeds.
    void nodesNamedByPeersAreAdded()
    {
        fleet_view view(1, "d1", {});
        node_status sender = status(2, 1);
        sender.knownNodes = {1, 3};
        view.onStatus(sender, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, view.peers().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, view.share(m_now).known);
    }

    // Guards against a node that fetches records from a peer without later ones.
    void peersWithLaterRevisionsAreFound()
    {
        fleet_view view(1, "d1", {});
        node_status behind = status(2, 1);
        behind.revisions = {5, 9};
        node_status ahead = status(3, 1);
        ahead.revisions = {7, 8};
        view.onStatus(behind, m_now);
        view.onStatus(ahead, m_now);
        CPPUNIT_ASSERT_EQUAL(3U, view.peersAhead(0, 5, m_now).at(0)->address);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, view.peersAhead(1, 5, m_now).size());
        CPPUNIT_ASSERT(view.peersAhead(0, 7, m_now).empty());
        CPPUNIT_ASSERT(view.peersAhead(2, 0, m_now).empty());
        CPPUNIT_ASSERT(view.peersAhead(0, 5, m_now + 5s).empty());
    }

    // Guards against a fleet that keeps the old records after the source was restored, because
    // these have higher revisions.
    void laterEraIsAheadOfAHigherRevision()
    {
        fleet_view view(1, "d1", {});
        node_status outdated = status(2, 1);
        outdated.revisions = {{1, 50}};
        node_status current = status(3, 1);
        current.revisions = {{2, 5}};
        view.onStatus(outdated, m_now);
        view.onStatus(current, m_now);
        const auto ahead = view.peersAhead(0, {1, 40}, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, ahead.size());
        CPPUNIT_ASSERT_EQUAL(3U, view.peersAhead(0, {1, 50}, m_now).at(0)->address);
        CPPUNIT_ASSERT(view.peersAhead(0, {2, 5}, m_now).empty());
        const std::vector<record_revision> own = {{2, 5}};
        CPPUNIT_ASSERT(view.peersBehind(own, m_now) == std::vector<std::uint32_t>{2});
    }

    // Guards against no or all nodes reading the source, also while readers lose it.
    void fewNodesReadTheSource()
    {
        constexpr std::uint32_t nodes = 40;
        for (const std::uint32_t lost : {0U, 10U, 30U}) {
            std::size_t reading = 0;
            std::size_t working = 0;
            for (std::uint32_t self = 1; self <= nodes; ++self) {
                fleet_view view(self, "d1", {});
                for (std::uint32_t other = 1; other <= nodes; ++other) {
                    node_status sender = status(other, 1);
                    sender.source = other <= lost ? source_state::Lost : source_state::NotRead;
                    if (other != self)
                        view.onStatus(sender, m_now);
                }
                if (!view.isSourceReader(m_now))
                    continue;
                ++reading;
                working += self > lost ? 1 : 0;
            }
            CPPUNIT_ASSERT(working == 4);
            CPPUNIT_ASSERT(reading <= 4 + lost);
        }
    }

    // Guards against a request that acquires a slot before one of higher priority at a peer.
    void higherPrioritiesAtPeersAreCounted()
    {
        fleet_view view(1, "d1", {});
        node_status busy = status(2, 1);
        busy.queues = {{"u", 4, 1}};
        view.onStatus(busy, m_now);
        CPPUNIT_ASSERT_EQUAL(4U, view.queuedAtPeers("u", 1, m_now));
        CPPUNIT_ASSERT_EQUAL(0U, view.queuedAtPeers("u", 0, m_now));
        CPPUNIT_ASSERT_EQUAL(0U, view.queuedAtPeers("v", 2, m_now));
        CPPUNIT_ASSERT_EQUAL(0U, view.queuedAtPeers("u", 2, m_now + 5s));
    }

    // Guards against an old load that replaces a newer one, and updates of a stopped process.
    void outdatedUpdatesAreIgnored()
    {
        fleet_view view(1, "d1", {});
        engine_update update{.address = 2,
                             .incarnation = 1,
                             .sequence = 5,
                             .loads = {},
                             .ejected = {},
                             .queues = {}};
        CPPUNIT_ASSERT(!view.acceptEngineUpdate(update));
        view.onStatus(status(2, 4), m_now);
        CPPUNIT_ASSERT(view.acceptEngineUpdate(update));
        CPPUNIT_ASSERT(!view.acceptEngineUpdate(update));
        update.sequence = 6;
        update.incarnation = 2;
        CPPUNIT_ASSERT(!view.acceptEngineUpdate(update));
        node_status late = status(2, 3);
        late.ready = false;
        view.onStatus(late, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, view.readyPeers("d1", m_now).size());
    }

    // Guards against engines that are assigned only to nodes that are about to stop.
    void leavingNodesAreNotActive()
    {
        fleet_view view(3, "d1", {});
        view.onStatus(status(2, 1), m_now);
        node_status leaving = status(4, 1);
        leaving.leaving = true;
        view.onStatus(leaving, m_now);
        view.onStatus(status(5, 1), m_now - 5s);
        const std::vector<node_location> activeNodes = view.activeNodes(m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, activeNodes.size());
        CPPUNIT_ASSERT_EQUAL(2U, activeNodes.at(0).address);
        CPPUNIT_ASSERT_EQUAL(3U, activeNodes.at(1).address);
    }

    // Guards against nodes that drop out of the fleet, with their share and callers, whenever one
    // status is lost or late. In a fleet of 295 nodes a status is sent every 1.18 s.
    void lostStatusOfLargeFleetKeepsNodesReachable()
    {
        fleet_view view(1, "d1", {});
        view.setStatusInterval(1'180ms);
        view.onStatus(status(2, 1), m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, view.share(m_now + 2'500ms).reachable);
        CPPUNIT_ASSERT(view.takeUnreachable(m_now + 2'500ms).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, view.share(m_now + 4s).reachable);
        // Frequent statuses do not shorten the timeout.
        view.setStatusInterval(150ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, view.share(m_now + 1'100ms).reachable);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, view.share(m_now + 1'300ms).reachable);
    }

private:
    static node_status status(std::uint32_t address, std::uint64_t sequence)
    {
        node_status result;
        result.address = address;
        result.incarnation = 1;
        result.domain = "d1";
        result.ready = true;
        result.sequence = sequence;
        return result;
    }

    double usageOf(fleet_view &view, std::uint64_t incarnation, std::uint64_t sequence,
                   double total) const
    {
        node_status sender = status(2, sequence);
        sender.incarnation = incarnation;
        sender.teamUsage = {{"t", total}};
        double sum = 0;
        for (const auto &usage : view.onStatus(sender, m_now).newUsage)
            sum += usage.total;
        return sum;
    }

    core::time_point m_now{1h};
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_view_test);
