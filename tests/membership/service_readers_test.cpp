#include "membership/service_readers.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace comfreypass;
using namespace comfreypass::membership;
using namespace std::chrono_literals;

class service_readers_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(service_readers_test);
    CPPUNIT_TEST(oneReaderPerDomain);
    CPPUNIT_TEST(leavingNodesDoNotRead);
    CPPUNIT_TEST(callRateIsBoundedWhileTheServiceIsDown);
    CPPUNIT_TEST(unconfirmedNodeReadsTheService);
    CPPUNIT_TEST_SUITE_END();

private:
    template<class Members>
    static auto &find(Members &members, const core::node_name &name)
    {
        return *std::find_if(members.begin(), members.end(),
                             [&name](const member &m) { return m.identity.name == name; });
    }

public:
    // Guards against losing all readers with a single failure domain.
    void oneReaderPerDomain()
    {
        const auto members = makeMembers(20, 4);
        const auto chosen = choose(0, members).readers();
        std::set<core::domain_name> domains;
        for (const auto &name : chosen)
            domains.insert(find(members, name).domain);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), chosen.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), domains.size());
        CPPUNIT_ASSERT(chosen == choose(7, members).readers());
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), choose(0, makeMembers(20, 1)).readers().size());
    }

    // Guards against a missed sheet change because all readers are shutting down.
    void leavingNodesDoNotRead()
    {
        auto members = makeMembers(20, 4);
        const auto first = choose(0, members).readers().front();
        find(members, first).state = member_state::Leaving;
        const auto chosen = choose(0, members).readers();
        CPPUNIT_ASSERT(std::count(chosen.begin(), chosen.end(), first) == 0);
    }

    // Guards against a fleet that overloads the service while it recovers.
    void callRateIsBoundedWhileTheServiceIsDown()
    {
        const auto members = makeMembers(380, 7);
        std::vector<service_readers> fleet;
        for (std::size_t i = 0; i < members.size(); ++i)
            fleet.push_back(choose(i, members));
        std::mt19937_64 random(5);
        std::vector<int> callsPerSecond(120);
        for (core::duration time = 0s; time < 120s; time += 50ms) {
            for (service_readers &node : fleet) {
                if (!node.shouldRead(m_now + time, random(), std::nullopt, fleet.size()))
                    continue;
                node.onReadFailed(m_now + time);
                ++callsPerSecond[static_cast<std::size_t>(time / 1s)];
            }
        }
        CPPUNIT_ASSERT(*std::max_element(callsPerSecond.begin(), callsPerSecond.end()) < 150);
        CPPUNIT_ASSERT(*std::max_element(callsPerSecond.begin() + 60, callsPerSecond.end()) < 40);
    }

    // Guards against a node without neighbours whose sheet is never confirmed again.
    void unconfirmedNodeReadsTheService()
    {
        const auto members = makeMembers(20, 4);
        std::size_t other = 0;
        while (choose(other, members).isReader())
            ++other;
        service_readers node = choose(other, members);
        CPPUNIT_ASSERT(!node.shouldRead(m_now, 1, core::duration(2s), 1));
        bool read = false;
        for (core::duration time = 0s; time < 1100ms; time += 50ms)
            read = read || node.shouldRead(m_now + time, 999'999, core::duration(3s), 1);
        CPPUNIT_ASSERT(read);
    }

private:
    static std::vector<member> makeMembers(std::size_t count, std::size_t domains)
    {
        std::vector<member> members(count);
        for (std::size_t i = 0; i < count; ++i) {
            members[i].identity = {core::node_name("entry-" + std::to_string(i)), 1};
            members[i].domain = core::domain_name(std::to_string(i % domains));
        }
        return members;
    }
    static service_readers choose(std::size_t self, const std::vector<member> &members)
    {
        std::vector<const member *> live;
        live.reserve(members.size());
        for (const member &m : members)
            live.push_back(&m);
        service_readers readers(members[self].identity.name, {});
        readers.choose(live);
        return readers;
    }

    const core::time_point m_now{1h};
};

CPPUNIT_TEST_SUITE_REGISTRATION(service_readers_test);
