#include "membership/membership_agent.h"
#include "membership/virtual_fleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <set>
#include <string>
#include <vector>

using namespace comfreypass;
using namespace comfreypass::membership;
using namespace std::chrono_literals;
using bench::virtual_fleet;

class membership_agent_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(membership_agent_test);
    CPPUNIT_TEST(startingNodeFetchesTheSheetFromPeers);
    CPPUNIT_TEST(startingFleetDoesNotOverloadTheService);
    CPPUNIT_TEST(nodeWithoutASheetReportsWhyItIsNotReady);
    CPPUNIT_TEST(killedNodeIsDetectedAndItsRestartIsAccepted);
    CPPUNIT_TEST(leavingStateSpreadsAndTheNodeStillReplies);
    CPPUNIT_TEST(partitionedMinorityStopsDispatching);
    CPPUNIT_TEST(majorityWithoutServiceKeepsDispatching);
    CPPUNIT_TEST(resumedNodeDoesNotDispatchBeforeConfirmation);
    CPPUNIT_TEST(restartAfterClockSetBackIsAccepted);
    CPPUNIT_TEST(replacedProcessStopsDispatching);
    CPPUNIT_TEST(addressesSpreadOverDomainsInService);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a restarted node that cannot become ready while the service is down.
    void startingNodeFetchesTheSheetFromPeers()
    {
        virtual_fleet fleet = makeFleet(8);
        fleet.kill(3);
        fleet.setServiceView([](std::size_t) { return std::nullopt; });
        fleet.run(1s);
        fleet.start(3);
        fleet.run(500ms);
        CPPUNIT_ASSERT(fleet.agent(3).ready(fleet.now()).ready);
        CPPUNIT_ASSERT(fleet.agent(3).store().key() == fleet.agent(0).store().key());
    }

    // Guards against a call rate at the service that grows with the size of a starting fleet.
    void startingFleetDoesNotOverloadTheService()
    {
        virtual_fleet::options options;
        options.nodes = 60;
        virtual_fleet fleet(options);
        fleet.publish(virtual_fleet::makeSheet(1, 4, {}));
        for (std::size_t i = 0; i < fleet.size(); ++i)
            fleet.start(i);
        fleet.run(1s);
        CPPUNIT_ASSERT(fleet.serviceCalls() < 20);
        fleet.run(4s);
        for (std::size_t i = 0; i < fleet.size(); ++i)
            CPPUNIT_ASSERT(fleet.agent(i).ready(fleet.now()).ready);
    }

    // Guards against a node that serves without a sheet.
    void nodeWithoutASheetReportsWhyItIsNotReady()
    {
        virtual_fleet fleet({});
        fleet.start(0);
        fleet.run(5s);
        const auto state = fleet.agent(0).ready(fleet.now());
        CPPUNIT_ASSERT(!state.ready && state.reason.find("no peer") == 0);
        CPPUNIT_ASSERT(!fleet.agent(0).mayDispatch(fleet.now()));
    }

    // Guards against a crashed node that is not detected, and against rejecting it after a restart.
    void killedNodeIsDetectedAndItsRestartIsAccepted()
    {
        virtual_fleet fleet = makeFleet(60);
        fleet.kill(7);
        fleet.run(4s);
        CPPUNIT_ASSERT_EQUAL(fleet.size() - 1, countState(fleet, 7, member_state::Dead));
        std::size_t returned = 0;
        fleet.setEventHandler([&](std::size_t, const membership_event &event) {
            returned += event.kind == event_kind::Returned && event.node.name == nameOf(7) ? 1 : 0;
        });
        fleet.start(7);
        fleet.run(3s);
        CPPUNIT_ASSERT_EQUAL(fleet.size(), countState(fleet, 7, member_state::Alive));
        CPPUNIT_ASSERT_EQUAL(fleet.size() - 1, returned);
    }

    // Guards against sending new callers to a leaving node, and against declaring it dead early.
    void leavingStateSpreadsAndTheNodeStillReplies()
    {
        virtual_fleet fleet = makeFleet(60);
        fleet.agent(7).beginLeaving(fleet.now());
        fleet.run(2s);
        CPPUNIT_ASSERT_EQUAL(fleet.size(), countState(fleet, 7, member_state::Leaving));
        for (const member &chosen : fleet.agent(0).chooseAddresses(60, 1, fleet.now()))
            CPPUNIT_ASSERT(chosen.identity.name != nameOf(7));
        fleet.run(20s);
        CPPUNIT_ASSERT_EQUAL(fleet.size(), countState(fleet, 7, member_state::Leaving));
        fleet.kill(7);
        fleet.run(5s);
        CPPUNIT_ASSERT_EQUAL(fleet.size() - 1, countState(fleet, 7, member_state::Dead));
    }

    // Guards against dispatching to a domain that the other side of a partition took out of
    // service.
    void partitionedMinorityStopsDispatching()
    {
        virtual_fleet fleet = makeFleet(8);
        for (std::size_t i = 0; i < 3; ++i)
            fleet.setGroup(i, 1);
        fleet.setServiceView([&fleet](std::size_t node) -> std::optional<std::size_t> {
            if (node < 3)
                return std::nullopt;
            return fleet.published();
        });
        fleet.run(5s);
        for (std::size_t i = 0; i < 8; ++i)
            CPPUNIT_ASSERT_EQUAL(i >= 3, fleet.agent(i).mayDispatch(fleet.now()));
        for (std::size_t i = 0; i < 3; ++i)
            fleet.setGroup(i, 0);
        fleet.run(3s);
        for (std::size_t i = 0; i < 8; ++i) {
            CPPUNIT_ASSERT(fleet.agent(i).mayDispatch(fleet.now()));
            CPPUNIT_ASSERT_EQUAL(std::size_t(8), fleet.agent(i).view().liveCount());
        }
    }

    // Guards against a fleet-wide outage when only the configuration service fails.
    void majorityWithoutServiceKeepsDispatching()
    {
        virtual_fleet fleet = makeFleet(8);
        fleet.setServiceView([](std::size_t) { return std::nullopt; });
        fleet.run(60s);
        for (std::size_t i = 0; i < 8; ++i) {
            CPPUNIT_ASSERT(fleet.agent(i).mayDispatch(fleet.now()));
            CPPUNIT_ASSERT(*fleet.agent(i).confirmationAge(fleet.now()) > 50s);
        }
    }

    // Guards against a resumed process that acts on its state from before the pause.
    void resumedNodeDoesNotDispatchBeforeConfirmation()
    {
        virtual_fleet fleet = makeFleet(8);
        fleet.pause(2, 2s);
        fleet.run(2s - 1us);
        CPPUNIT_ASSERT(!fleet.agent(2).mayDispatch(fleet.now()));
        fleet.setGroup(2, 1);
        fleet.setServiceView([](std::size_t) { return std::nullopt; });
        for (int i = 0; i < 30; ++i) {
            fleet.run(100ms);
            CPPUNIT_ASSERT(!fleet.agent(2).mayDispatch(fleet.now()));
        }
        CPPUNIT_ASSERT(fleet.agent(2).pausedUntil());
        fleet.setGroup(2, 0);
        fleet.run(5s);
        CPPUNIT_ASSERT(fleet.agent(2).mayDispatch(fleet.now()));
    }

    // Guards against a restarted node that is ignored permanently because its clock was set back.
    void restartAfterClockSetBackIsAccepted()
    {
        membership_agent peer(makeMember("peer", 3), {}, virtual_fleet::parseSheet, m_now);
        ping announcement;
        announcement.updates = {makeMember("node", 9)};
        peer.onPing({core::node_name("node"), 9}, announcement, m_now);

        membership_agent restarted(makeMember("node", 5), {}, virtual_fleet::parseSheet, m_now);
        ping first;
        first.updates = {restarted.self()};
        const auto reply = peer.onPing(restarted.self().identity, first, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), reply.messages.size());
        const auto actions = restarted.onAck(peer.self().identity,
                                             std::get<ack>(reply.messages[0].message), m_now);
        CPPUNIT_ASSERT(actions.events.at(0).kind == event_kind::IncarnationRaised);
        CPPUNIT_ASSERT_EQUAL(core::incarnation(10), restarted.self().identity.incarnation);
    }

    // Guards against two processes that serve under the same name after a long pause.
    void replacedProcessStopsDispatching()
    {
        membership_agent old(makeMember("node", 5), {}, virtual_fleet::parseSheet, m_now);
        old.onServiceValue(virtual_fleet::makeSheet(1, 4, {}), 1, m_now, m_now);
        CPPUNIT_ASSERT(old.mayDispatch(m_now));
        ack reply;
        reply.sequence = static_cast<std::uint64_t>(m_now.time_since_epoch().count());
        old.onAck({core::node_name("peer"), 3}, reply, m_now);
        old.tick(m_now + 31s, 1);
        old.onServiceUnchanged(1, m_now + 31s, m_now + 31s);
        CPPUNIT_ASSERT(old.mayDispatch(m_now + 31s));
        reply.updates = {makeMember("node", 9)};
        const auto actions = old.onAck({core::node_name("peer"), 3}, reply, m_now + 31s);
        CPPUNIT_ASSERT(actions.events.at(0).kind == event_kind::Superseded);
        CPPUNIT_ASSERT(!old.mayDispatch(m_now + 31s) && !old.ready(m_now + 31s).ready);
    }

    // Guards against losing all addresses or all witnesses with a single failure domain.
    void addressesSpreadOverDomainsInService()
    {
        virtual_fleet fleet = makeFleet(8);
        fleet.publish(virtual_fleet::makeSheet(2, 4, {1}));
        fleet.run(2s);
        std::set<core::node_name> seen;
        for (std::uint64_t random = 0; random < 50; ++random) {
            const auto chosen = fleet.agent(2).chooseWitnesses(3, random, fleet.now());
            CPPUNIT_ASSERT_EQUAL(std::size_t(3), chosen.size());
            CPPUNIT_ASSERT_EQUAL(std::string("domain-2"), chosen[0].domain.text());
            std::set<core::domain_name> domains;
            for (const member &one : chosen) {
                domains.insert(one.domain);
                seen.insert(one.identity.name);
                CPPUNIT_ASSERT(one.identity.incarnation != 0);
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t(3), domains.size());
            CPPUNIT_ASSERT(!domains.contains(core::domain_name("domain-1")));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), seen.size());
    }

private:
    static core::node_name nameOf(std::size_t node)
    {
        return core::node_name("entry-" + std::to_string(node));
    }
    static member makeMember(std::string_view name, core::incarnation incarnation)
    {
        member made;
        made.identity = {core::node_name(name), incarnation};
        made.peerAddress = "10.0.0.1:1";
        return made;
    }
    static virtual_fleet makeFleet(std::size_t nodes)
    {
        virtual_fleet::options options;
        options.nodes = nodes;
        virtual_fleet fleet(options);
        fleet.publish(virtual_fleet::makeSheet(1, 4, {}));
        for (std::size_t i = 0; i < nodes; ++i)
            fleet.start(i);
        fleet.run(15s);
        return fleet;
    }
    static std::size_t countState(virtual_fleet &fleet, std::size_t subject, member_state state)
    {
        std::size_t count = 0;
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            if (!fleet.running(i))
                continue;
            const member *known = fleet.agent(i).view().record(nameOf(subject));
            count += known != nullptr && known->state == state ? 1 : 0;
        }
        return count;
    }

    const core::time_point m_now{1h};
};

CPPUNIT_TEST_SUITE_REGISTRATION(membership_agent_test);
