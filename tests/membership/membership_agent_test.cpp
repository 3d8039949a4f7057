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
    CPPUNIT_TEST(startingNodeGetsTheSheetFromPeers);
    CPPUNIT_TEST(startingFleetDoesNotOverloadTheService);
    CPPUNIT_TEST(nodeWithoutASheetSaysWhyItIsNotReady);
    CPPUNIT_TEST(killedNodeIsDetectedAndItsSuccessorReturns);
    CPPUNIT_TEST(leavingIsKnownAndStillAnswers);
    CPPUNIT_TEST(cutOffMinorityStopsDispatching);
    CPPUNIT_TEST(servicelessMajorityKeepsDispatching);
    CPPUNIT_TEST(resumedNodeDoesNotDispatchBeforeItIsConfirmed);
    CPPUNIT_TEST(restartWithAClockSetBackIsAccepted);
    CPPUNIT_TEST(replacedProcessStops);
    CPPUNIT_TEST(addressesSpreadOverDomainsInService);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a replaced node that cannot start while the service is down.
    void startingNodeGetsTheSheetFromPeers()
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

    // Guards against a call rate of the service that grows with the fleet while it starts.
    void startingFleetDoesNotOverloadTheService()
    {
        virtual_fleet::options chosen;
        chosen.nodes = 60;
        virtual_fleet fleet(chosen);
        fleet.publish(virtual_fleet::makeSheet(1, 4, {}));
        for (std::size_t i = 0; i < fleet.size(); ++i)
            fleet.start(i);
        fleet.run(1s);
        CPPUNIT_ASSERT(fleet.serviceCalls() < 20);
        fleet.run(4s);
        for (std::size_t i = 0; i < fleet.size(); ++i)
            CPPUNIT_ASSERT(fleet.agent(i).ready(fleet.now()).ready);
    }

    // Guards against a node that serves without knowing what is in service.
    void nodeWithoutASheetSaysWhyItIsNotReady()
    {
        virtual_fleet fleet({});
        fleet.start(0);
        fleet.run(5s);
        const auto state = fleet.agent(0).ready(fleet.now());
        CPPUNIT_ASSERT(!state.ready && state.reason.find("no peer") == 0);
        CPPUNIT_ASSERT(!fleet.agent(0).mayDispatch(fleet.now()));
    }

    // Guards against callers being sent to a dead node, and against shutting out its successor.
    void killedNodeIsDetectedAndItsSuccessorReturns()
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

    // Guards against new callers at a leaving node, and against it being declared dead early.
    void leavingIsKnownAndStillAnswers()
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

    // Guards against dispatches to a domain that was taken out on the other side of a partition.
    void cutOffMinorityStopsDispatching()
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

    // Guards against an outage of the whole fleet when only the configuration service fails.
    void servicelessMajorityKeepsDispatching()
    {
        virtual_fleet fleet = makeFleet(8);
        fleet.setServiceView([](std::size_t) { return std::nullopt; });
        fleet.run(60s);
        for (std::size_t i = 0; i < 8; ++i) {
            CPPUNIT_ASSERT(fleet.agent(i).mayDispatch(fleet.now()));
            CPPUNIT_ASSERT(*fleet.agent(i).confirmationAge(fleet.now()) > 50s);
        }
    }

    // Guards against a resumed process that acts on what was true before its pause.
    void resumedNodeDoesNotDispatchBeforeItIsConfirmed()
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

    // Guards against a restarted node that is ignored for ever because its clock was set back.
    void restartWithAClockSetBackIsAccepted()
    {
        membership_agent peer(makeMember("peer", 3), {}, virtual_fleet::parseSheet, m_now);
        ping announcement;
        announcement.updates = {makeMember("node", 9)};
        peer.onPing({core::node_name("node"), 9}, announcement, m_now);

        membership_agent restarted(makeMember("node", 5), {}, virtual_fleet::parseSheet, m_now);
        ping first;
        first.updates = {restarted.self()};
        const auto answer = peer.onPing(restarted.self().identity, first, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), answer.messages.size());
        const auto actions = restarted.onAck(peer.self().identity,
                                             std::get<ack>(answer.messages[0].message), m_now);
        CPPUNIT_ASSERT(actions.events.at(0).kind == event_kind::IncarnationRaised);
        CPPUNIT_ASSERT_EQUAL(core::incarnation(10), restarted.self().identity.incarnation);
    }

    // Guards against two processes that serve under one name after a long pause.
    void replacedProcessStops()
    {
        membership_agent old(makeMember("node", 5), {}, virtual_fleet::parseSheet, m_now);
        old.onServiceValue(virtual_fleet::makeSheet(1, 4, {}), 1, m_now, m_now);
        CPPUNIT_ASSERT(old.mayDispatch(m_now));
        ack answer;
        answer.sequence = static_cast<std::uint64_t>(m_now.time_since_epoch().count());
        old.onAck({core::node_name("peer"), 3}, answer, m_now);
        old.tick(m_now + 31s, 1);
        old.onServiceUnchanged(1, m_now + 31s, m_now + 31s);
        CPPUNIT_ASSERT(old.mayDispatch(m_now + 31s));
        answer.updates = {makeMember("node", 9)};
        const auto actions = old.onAck({core::node_name("peer"), 3}, answer, m_now + 31s);
        CPPUNIT_ASSERT(actions.events.at(0).kind == event_kind::Superseded);
        CPPUNIT_ASSERT(!old.mayDispatch(m_now + 31s) && !old.ready(m_now + 31s).ready);
    }

    // Guards against all addresses, or all witnesses, being lost with one failure domain.
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
        virtual_fleet::options chosen;
        chosen.nodes = nodes;
        virtual_fleet fleet(chosen);
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
