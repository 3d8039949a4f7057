#include "dispatch/quota_pool.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cmath>
#include <random>
#include <string>
#include <vector>

using namespace comfreypass;
using namespace comfreypass::dispatch;
using namespace std::chrono_literals;

namespace {

team limitedTeam(double rate, double burst)
{
    team result;
    result.name = "t";
    result.quota = team_quota{
        .countsTokens = true, .unitsPerSecond = rate, .burstUnits = burst, .defaultUnits = 200};
    return result;
}

/** Nodes that each admit requests of the team and exchange the admitted units. */
class quota_fleet
{
public:
    quota_fleet(std::size_t nodes, core::duration statusInterval)
        : m_pools(nodes), m_reported(nodes, 0.0), m_statusInterval(statusInterval)
    { }

    /** Requests `load` units per second at random nodes, in requests of about `size` units. */
    double run(const team &owner, double load, double size, core::duration time,
               std::size_t partitions)
    {
        double admitted = 0;
        const core::duration step = 10ms;
        const core::time_point end = m_now + time;
        const std::size_t partitionSize = m_pools.size() / partitions;
        double due = 0;
        while (m_now < end) {
            m_now += step;
            due += load * std::chrono::duration<double>(step).count() / size;
            for (; due >= 1; due -= 1) {
                const std::size_t node = m_random() % m_pools.size();
                const double units
                    = size * std::uniform_real_distribution<double>(0.2, 1.8)(m_random);
                m_requestedUnits += units;
                const fleet_share share{.known = m_pools.size(), .reachable = partitionSize};
                if (m_pools[node].admit(owner, units, share, m_now).admitted)
                    admitted += units;
            }
            if (m_now >= m_nextStatus) {
                m_nextStatus = m_now + m_statusInterval;
                exchangeUsage(owner.name, partitionSize);
            }
        }
        return admitted;
    }

    /** Returns the units requested so far. */
    double requestedUnits() const { return m_requestedUnits; }

private:
    void exchangeUsage(const std::string &name, std::size_t partitionSize)
    {
        for (std::size_t from = 0; from < m_pools.size(); ++from) {
            const double total = m_pools[from].ownTotal(name);
            const double newUnits = total - m_reported[from];
            m_reported[from] = total;
            for (std::size_t to = 0; to < m_pools.size(); ++to) {
                if (to != from && to / partitionSize == from / partitionSize)
                    m_pools[to].addPeerUsage(name, newUnits);
            }
        }
    }

    std::vector<quota_pool> m_pools;
    std::vector<double> m_reported;
    core::duration m_statusInterval;
    core::time_point m_now{1h};
    core::time_point m_nextStatus{};
    double m_requestedUnits = 0;
    std::minstd_rand m_random{7};
};

} // namespace

class quota_pool_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(quota_pool_test);
    CPPUNIT_TEST(fleetKeepsTheLimitUnderHeavyLoad);
    CPPUNIT_TEST(partitionsKeepTheLimit);
    CPPUNIT_TEST(restartedFleetKeepsTheLimit);
    CPPUNIT_TEST(loadWithinTheQuotaIsAdmittedAtAnyNode);
    CPPUNIT_TEST(requestLargerThanTheShareOfANodeIsAdmitted);
    CPPUNIT_TEST(refundReturnsUnitsOfRequestsThatNeverRan);
    CPPUNIT_TEST(teamWithoutQuotaIsNeverRefused);
    CPPUNIT_TEST(lowerLimitTakesEffectImmediately);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a team that receives its whole quota from each node.
    void fleetKeepsTheLimitUnderHeavyLoad()
    {
        const team owner = limitedTeam(36'000, 36'000);
        quota_fleet fleet(8, 150ms);
        const double admitted = fleet.run(owner, 36'000 * 7.5, 7'000, 8s, 1);
        CPPUNIT_ASSERT(admitted <= maxAdmitted(owner, 8));
    }

    // Guards against a network partition that doubles the quota.
    void partitionsKeepTheLimit()
    {
        const team owner = limitedTeam(36'000, 36'000);
        for (const std::size_t partitions : {2, 4, 8}) {
            quota_fleet fleet(8, 150ms);
            const double admitted = fleet.run(owner, 36'000 * 7.5, 7'000, 8s, partitions);
            CPPUNIT_ASSERT(admitted <= maxAdmitted(owner, 8));
        }
    }

    // Guards against a fleet that restarts as a whole and grants each team its burst again.
    void restartedFleetKeepsTheLimit()
    {
        const team owner = limitedTeam(270'000, 270'000);
        double admitted = 0;
        for (int incarnation = 0; incarnation < 2; ++incarnation) {
            quota_fleet fleet(8, 150ms);
            admitted += fleet.run(owner, 270'000 * 4, 7'000, 4s, 1);
        }
        CPPUNIT_ASSERT(admitted <= maxAdmitted(owner, 8));
    }

    // Guards against refusals for a team that stays within its quota.
    void loadWithinTheQuotaIsAdmittedAtAnyNode()
    {
        const team owner = limitedTeam(36'000, 36'000);
        quota_fleet fleet(8, 150ms);
        const double admitted = fleet.run(owner, 36'000 * 0.55, 1'000, 20s, 1);
        CPPUNIT_ASSERT(admitted >= fleet.requestedUnits() * 0.95);
    }

    // Guards against the refusal of long prompts that exceed the bucket of a single node.
    void requestLargerThanTheShareOfANodeIsAdmitted()
    {
        const team owner = limitedTeam(8'000, 8'000);
        quota_pool pool;
        const fleet_share share{.known = 8, .reachable = 8};
        CPPUNIT_ASSERT(pool.admit(owner, 54'000, share, m_start).admitted);
        const quota_decision next = pool.admit(owner, 100, share, m_start + 10ms);
        CPPUNIT_ASSERT(!next.admitted);
        CPPUNIT_ASSERT(next.retryAfter > 0s);
        CPPUNIT_ASSERT(pool.admit(owner, 100, share, m_start + 7s).admitted);
    }

    // Guards against a quota that is used up by refused requests.
    void refundReturnsUnitsOfRequestsThatNeverRan()
    {
        const team owner = limitedTeam(1'000, 1'000);
        quota_pool pool;
        const fleet_share alone;
        for (int i = 0; i < 100; ++i) {
            CPPUNIT_ASSERT(pool.admit(owner, 900, alone, m_start).admitted);
            pool.refund(owner, 900);
        }
        CPPUNIT_ASSERT_EQUAL(0.0, pool.ownTotal("t"));
    }

    // Guards against a missing quota that is treated as a limit of zero.
    void teamWithoutQuotaIsNeverRefused()
    {
        team owner;
        owner.name = "free";
        quota_pool pool;
        for (int i = 0; i < 1'000; ++i)
            CPPUNIT_ASSERT(pool.admit(owner, 1e6, {}, m_start).admitted);
    }

    // Guards against units saved under a higher limit that are spent under the lower one.
    void lowerLimitTakesEffectImmediately()
    {
        quota_pool pool;
        const fleet_share alone;
        CPPUNIT_ASSERT(pool.admit(limitedTeam(100'000, 100'000), 1, alone, m_start).admitted);
        const team lower = limitedTeam(1'000, 1'000);
        double admitted = 0;
        for (int i = 0; i < 1'000; ++i) {
            if (pool.admit(lower, 100, alone, m_start + 10s).admitted)
                admitted += 100;
        }
        CPPUNIT_ASSERT(admitted <= 1'100);
    }

private:
    /** Returns the accepted maximum in a window: the limit plus 25 percent plus 140,000 tokens. */
    static double maxAdmitted(const team &owner, double seconds)
    {
        return (owner.quota->unitsPerSecond * seconds + owner.quota->burstUnits) * 1.25 + 140'000;
    }

    core::time_point m_start{1h};
};

CPPUNIT_TEST_SUITE_REGISTRATION(quota_pool_test);
