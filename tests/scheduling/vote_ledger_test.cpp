#include "core/rendezvous.h"
#include "scheduling/vote_ledger.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>

using namespace comfreypass;
using namespace comfreypass::scheduling;
using std::chrono::milliseconds;

class vote_ledger_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(vote_ledger_test);
    CPPUNIT_TEST(startedProcessWaitsOneLease);
    CPPUNIT_TEST(oneLeaseIsGrantedAtATime);
    CPPUNIT_TEST(betterRankedNodeEndsRenewal);
    CPPUNIT_TEST(stepDownReleasesTheLease);
    CPPUNIT_TEST(permitEndsWithLeaseAndRounds);
    CPPUNIT_TEST(latePollsAreRefused);
    CPPUNIT_TEST(votesCarryRampStatesToTheNextScheduler);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a restarted voter that grants its vote twice.
    void startedProcessWaitsOneLease()
    {
        vote_ledger ledger(at(1'000));
        CPPUNIT_ASSERT(!poll(ledger, better(), 1, 2'510).granted);
        CPPUNIT_ASSERT(poll(ledger, better(), 2, 2'520).granted);
    }

    // Guards against two schedulers that count the same vote.
    void oneLeaseIsGrantedAtATime()
    {
        vote_ledger ledger(at(-10'000));
        CPPUNIT_ASSERT(poll(ledger, better(), 1, 0).granted);
        const lease_vote refused = poll(ledger, worse(), 1, 1'499);
        CPPUNIT_ASSERT(!refused.granted);
        CPPUNIT_ASSERT(refused.preferred == better().name);
        CPPUNIT_ASSERT(poll(ledger, worse(), 2, 1'500).granted);
    }

    // Guards against a scheduler that keeps an upstream after a better-ranked node has joined.
    void betterRankedNodeEndsRenewal()
    {
        vote_ledger ledger(at(-10'000));
        CPPUNIT_ASSERT(poll(ledger, worse(), 1, 0).granted);
        CPPUNIT_ASSERT(!poll(ledger, better(), 1, 500).granted);
        CPPUNIT_ASSERT(!poll(ledger, worse(), 2, 600).granted);
        CPPUNIT_ASSERT(poll(ledger, better(), 2, 1'500).granted);
    }

    // Guards against an upstream without a scheduler for one lease after a graceful handover.
    void stepDownReleasesTheLease()
    {
        vote_ledger ledger(at(-10'000));
        poll(ledger, better(), 1, 0);
        ledger.onStepDown(worse(), {upstream()});
        CPPUNIT_ASSERT(ledger.holder(upstream(), at(1)) == better());
        ledger.onStepDown(better(), {upstream()});
        CPPUNIT_ASSERT(poll(ledger, worse(), 1, 1).granted);
    }

    // Guards against dispatches by a process that was paused, and with permits that the scheduler
    // no longer counts.
    void permitEndsWithLeaseAndRounds()
    {
        vote_ledger ledger(at(-10'000));
        poll(ledger, better(), 10, 0);
        permit_grant permit;
        permit.upstream = upstream();
        permit.leaseSequence = 10;
        CPPUNIT_ASSERT(ledger.mayUse(better(), permit, at(1'499)));
        CPPUNIT_ASSERT(!ledger.mayUse(worse(), permit, at(100)));
        CPPUNIT_ASSERT(!ledger.mayUse(better(), permit, at(1'500)));
        poll(ledger, better(), 12, 1'000);
        CPPUNIT_ASSERT(ledger.mayUse(better(), permit, at(1'100)));
        poll(ledger, better(), 13, 1'200);
        CPPUNIT_ASSERT(!ledger.mayUse(better(), permit, at(1'300)));
    }

    // Guards against a late copy of a poll that renews an expired lease.
    void latePollsAreRefused()
    {
        vote_ledger ledger(at(-10'000));
        poll(ledger, better(), 10, 0);
        poll(ledger, worse(), 1, 1'600);
        CPPUNIT_ASSERT(!poll(ledger, better(), 10, 3'200).granted);
        CPPUNIT_ASSERT(poll(ledger, better(), 12, 3'200).granted);
        CPPUNIT_ASSERT(!poll(ledger, better(), 11, 3'300).granted);
    }

    // Guards against a new scheduler that starts without a ramp state or with an outdated one.
    void votesCarryRampStatesToTheNextScheduler()
    {
        vote_ledger ledger(at(-10'000));
        const core::engine_name engine{"e"};
        poll(ledger, better(), 1, 0, {{engine, 4, 1, 0, 9}});
        poll(ledger, better(), 2, 100, {{engine, 2, 1, 0, 8}});
        const lease_vote vote = poll(ledger, worse(), 1, 2'000);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, vote.ramps.size());
        CPPUNIT_ASSERT_EQUAL(4U, vote.ramps.front().limit);
    }

private:
    static core::time_point at(int millis) { return core::time_point{milliseconds{millis}}; }
    static core::upstream_name upstream() { return core::upstream_name{"asesor-modelo"}; }

    static std::vector<core::node_name> ranked()
    {
        const std::vector<core::node_name> nodes{core::node_name{"a"}, core::node_name{"b"}};
        return core::rendezvousRank(upstream().text(), nodes, 2);
    }
    static core::node_identity better() { return {ranked().front(), 1}; }
    static core::node_identity worse() { return {ranked().back(), 2}; }

    static lease_vote poll(vote_ledger &ledger, const core::node_identity &from,
                           std::uint64_t sequence, int millis, std::vector<ramp_state> ramps = {})
    {
        return ledger.onPoll(from, {upstream(), sequence, defaultLease, std::move(ramps)}, {},
                             at(millis));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(vote_ledger_test);
