#include "membership/incarnation_order.h"
#include "membership/live_view.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <random>
#include <string>
#include <vector>

using namespace comfreypass;
using namespace comfreypass::membership;
using namespace std::chrono_literals;
using status = live_view::merge_status;

class live_view_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(live_view_test);
    CPPUNIT_TEST(viewsConvergeRegardlessOfUpdateOrder);
    CPPUNIT_TEST(onlyTheMemberItselfRefutesASuspicion);
    CPPUNIT_TEST(newIncarnationReplacesDeadMember);
    CPPUNIT_TEST(lateRecordsOfAnOldIncarnationAreIgnored);
    CPPUNIT_TEST(deadUnlistedMembersAreRemoved);
    CPPUNIT_TEST(limitsMemberCount);
    CPPUNIT_TEST(unverifiedNamesAreNotLive);
    CPPUNIT_TEST(epochEstimateAdvancesWithTime);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against views that differ permanently because updates arrived in different orders.
    void viewsConvergeRegardlessOfUpdateOrder()
    {
        std::mt19937 random(3);
        for (int run = 0; run < 200; ++run) {
            std::vector<member> updates;
            updates.reserve(12);
            for (int i = 0; i < 12; ++i)
                updates.push_back(makeMember("n" + std::to_string(random() % 3), 1 + random() % 2,
                                             static_cast<member_state>(random() % 4),
                                             static_cast<std::uint32_t>(random() % 3)));
            live_view first = makeView();
            live_view second = makeView();
            for (const char *name : {"n0", "n1", "n2"}) {
                first.merge(makeMember(name, 1), m_now);
                second.merge(makeMember(name, 1), m_now);
            }
            for (const member &update : updates)
                first.merge(update, m_now);
            std::shuffle(updates.begin(), updates.end(), random);
            for (const member &update : updates)
                second.merge(update, m_now);
            CPPUNIT_ASSERT_EQUAL(first.digest(), second.digest());
            CPPUNIT_ASSERT_EQUAL(first.liveCount(), second.liveCount());
        }
    }

    // Guards against a running node that remains suspect, and against refuting a suspicion twice.
    void onlyTheMemberItselfRefutesASuspicion()
    {
        live_view view = makeView();
        const member suspicion = makeMember("self", 5, member_state::Suspect, 3);
        CPPUNIT_ASSERT(view.merge(suspicion, m_now).status == status::Refuted);
        CPPUNIT_ASSERT_EQUAL(4U, view.self().stateVersion);
        CPPUNIT_ASSERT(view.self().state == member_state::Alive);
        CPPUNIT_ASSERT(view.merge(suspicion, m_now).status == status::Ignored);

        view.merge(makeMember("other", 1), m_now);
        CPPUNIT_ASSERT(view.declare(core::node_name("other"), member_state::Suspect, m_now));
        CPPUNIT_ASSERT(view.merge(makeMember("other", 1), m_now).status == status::Ignored);
        CPPUNIT_ASSERT(view.merge(makeMember("other", 1, member_state::Alive, 1), m_now).status
                       == status::Changed);
    }

    // Guards against a restarted node that is still regarded as dead.
    void newIncarnationReplacesDeadMember()
    {
        live_view view = makeView();
        view.merge(makeMember("other", makeIncarnation(100, ~0ULL)), m_now);
        view.declare(core::node_name("other"), member_state::Dead, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), view.liveCount());
        const member restarted = makeMember("other", makeIncarnation(101, 0));
        CPPUNIT_ASSERT(view.merge(restarted, m_now).status == status::Restarted);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), view.liveCount());
    }

    // Guards against a stale record that revives a past process or declares the current one dead.
    void lateRecordsOfAnOldIncarnationAreIgnored()
    {
        live_view view = makeView();
        view.merge(makeMember("other", 9), m_now);
        const std::uint64_t digest = view.digest();
        view.merge(makeMember("other", 8, member_state::Dead, 7), m_now);
        view.merge(makeMember("other", 8, member_state::Alive, 8), m_now);
        CPPUNIT_ASSERT_EQUAL(digest, view.digest());
        CPPUNIT_ASSERT(view.merge(makeMember("self", 4, member_state::Dead), m_now).status
                       == status::Ignored);
        CPPUNIT_ASSERT(view.merge(makeMember("self", 6), m_now).status == status::Superseded);
    }

    // Guards against a view that grows with every replaced node, and against early removal.
    void deadUnlistedMembersAreRemoved()
    {
        live_view view = makeView();
        view.merge(makeMember("other", 1), m_now);
        const std::vector<listed_node> list = {{core::node_name("other"), "a:1", "a:2", {}, false}};
        view.setListed(list, m_now);
        view.declare(core::node_name("other"), member_state::Dead, m_now);
        CPPUNIT_ASSERT(view.removeExpired(m_now + 1h).empty());
        view.setListed({}, m_now + 1h);
        CPPUNIT_ASSERT(view.removeExpired(m_now + 1h + 59s).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), view.removeExpired(m_now + 1h + 60s).size());
        const member dead = makeMember("other", 1, member_state::Dead);
        CPPUNIT_ASSERT(view.merge(dead, m_now).status == status::Ignored);
    }

    // Guards against unbounded memory when records of fabricated names arrive.
    void limitsMemberCount()
    {
        live_view view = makeView();
        for (std::size_t i = 0; i < 2 * live_view::maxMembers; ++i)
            view.merge(makeMember("n" + std::to_string(i), 1), m_now);
        CPPUNIT_ASSERT_EQUAL(live_view::maxMembers, view.liveCount());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(live_view::maxMembers + 1), view.rejectedCount());
    }

    // Guards against a majority that includes listed nodes from which no record was received.
    void unverifiedNamesAreNotLive()
    {
        live_view view = makeView();
        std::vector<listed_node> list;
        for (const char *name : {"self", "b", "c"})
            list.push_back({core::node_name(name), "a:1", "a:2", {}, false});
        view.setListed(list, m_now);
        CPPUNIT_ASSERT(!view.majorityLive());
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), view.reachableNames().size());
        view.merge(makeMember("b", 1), m_now);
        CPPUNIT_ASSERT(view.majorityLive());
    }

    // Guards against witness tokens with a future epoch, which the witness would reject.
    void epochEstimateAdvancesWithTime()
    {
        live_view view = makeView();
        member other = makeMember("other", 1);
        other.witnessEpoch = 7;
        view.merge(other, m_now);
        const auto epochAfter = [&](core::duration time) {
            return view.find(core::node_name("other"), m_now + time)->witnessEpoch;
        };
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), epochAfter(60s));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(8), epochAfter(61s));
        other.witnessEpoch = 9;
        CPPUNIT_ASSERT(view.merge(other, m_now + 61s).status == status::EpochChanged);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(9), epochAfter(62s));
        other.witnessEpoch = 8;
        CPPUNIT_ASSERT(view.merge(other, m_now + 62s).status == status::Ignored);
    }

private:
    static member makeMember(std::string_view name, core::incarnation incarnation,
                             member_state state = member_state::Alive, std::uint32_t version = 0)
    {
        member made;
        made.identity = {core::node_name(name), incarnation};
        made.state = state;
        made.stateVersion = version;
        made.peerAddress = "10.0.0.1:1";
        return made;
    }
    live_view makeView() const { return {makeMember("self", 5), {}, m_now}; }

    const core::time_point m_now{1h};
};

CPPUNIT_TEST_SUITE_REGISTRATION(live_view_test);
