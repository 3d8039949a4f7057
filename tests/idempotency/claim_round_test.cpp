#include "idempotency/claim_round.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace comfreypass::core;
using namespace comfreypass::idempotency;
using namespace std::chrono_literals;

class claim_round_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(claim_round_test);
    CPPUNIT_TEST(twoAcceptancesWin);
    CPPUNIT_TEST(twoRepliesOfOneWitnessAreNoMajority);
    CPPUNIT_TEST(unrelatedAndStaleRepliesAreIgnored);
    CPPUNIT_TEST(sameOwnerTwiceLoses);
    CPPUNIT_TEST(splitVotesAreNeverNotRun);
    CPPUNIT_TEST(claimsAreResentToSilentWitnessesUntilTheEnd);
    CPPUNIT_TEST(deadlineEndsTheRound);
    CPPUNIT_TEST(tooFewWitnessesFailImmediately);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a round that waits for a third witness that is down.
    void twoAcceptancesWin()
    {
        claim_round round = makeRound(3);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, round.due(start).size());
        round.onReply(witness(0), accepted());
        assertDecision(claim_decision::Open, round);
        round.onReply(witness(2), accepted());
        assertDecision(claim_decision::Won, round);
        CPPUNIT_ASSERT(!round.outcome().notRun());
    }

    // Guards against a duplicated reply that counts as a second vote.
    void twoRepliesOfOneWitnessAreNoMajority()
    {
        claim_round round = makeRound(3);
        round.onReply(witness(0), accepted());
        round.onReply(witness(0), accepted());
        assertDecision(claim_decision::Open, round);
    }

    // Guards against counted replies of other nodes, to other rounds and of restarted witnesses.
    void unrelatedAndStaleRepliesAreIgnored()
    {
        claim_round round = makeRound(3);
        round.onReply(witness(0), accepted());
        round.onReply({node_name{"stranger"}, 1}, accepted());
        round.onReply({witness(1).name, witness(1).incarnation + 1}, accepted());
        round.onReply(witness(1), {sequence + 1, claim_result::Accepted, self});
        round.onReply(witness(1), {sequence, claim_result::Accepted, other});
        round.onReply(witness(1), {sequence, claim_result::OwnedByOther, self});
        assertDecision(claim_decision::Open, round);
    }

    // Guards against a lost round that waits for its timeout or does not report the owner.
    void sameOwnerTwiceLoses()
    {
        claim_round round = makeRound(3);
        round.onReply(witness(0), ownedBy(other));
        round.onReply(witness(1), ownedBy(other));
        assertDecision(claim_decision::Lost, round);
        CPPUNIT_ASSERT(round.outcome().otherOwner == other);
        CPPUNIT_ASSERT(!round.outcome().notRun());
    }

    // Guards against `not_run` for a request that the other owner may win at the witness that has
    // not replied.
    void splitVotesAreNeverNotRun()
    {
        claim_round round = makeRound(3);
        round.onReply(witness(0), accepted());
        round.onReply(witness(1), ownedBy(other));
        round.onTime(start + 250ms);
        assertDecision(claim_decision::Failed, round);
        CPPUNIT_ASSERT(round.outcome().otherOwner == other);
        CPPUNIT_ASSERT(!round.outcome().notRun());
    }

    // Guards against a request that fails because of one lost message, and against unlimited
    // resends.
    void claimsAreResentToSilentWitnessesUntilTheEnd()
    {
        claim_round round = makeRound(3);
        round.due(start);
        CPPUNIT_ASSERT(round.due(start + 59ms).empty());
        round.onReply(witness(1), accepted());
        CPPUNIT_ASSERT(round.nextTime() == start + 60ms);
        const auto resent = round.due(start + 60ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, resent.size());
        CPPUNIT_ASSERT(resent[0].to == witness(0).name && resent[1].to == witness(2).name);
        round.onTime(start + 250ms);
        assertDecision(claim_decision::Failed, round);
        CPPUNIT_ASSERT(round.outcome().notRun());
        CPPUNIT_ASSERT(round.due(start + 300ms).empty());
        round.onReply(witness(2), accepted());
        assertDecision(claim_decision::Failed, round);
    }

    // Guards against a claim that continues after the request's deadline.
    void deadlineEndsTheRound()
    {
        claim_round round = makeRound(3, start + 100ms);
        round.onTime(start + 100ms);
        assertDecision(claim_decision::Failed, round);
    }

    // Guards against a win without a majority, and against waiting when no majority is possible.
    void tooFewWitnessesFailImmediately()
    {
        assertDecision(claim_decision::Failed, makeRound(1));
        claim_round round = makeRound(3);
        round.onReply({witness(0).name, 999}, {sequence, claim_result::Refused, {}});
        assertDecision(claim_decision::Open, round);
        round.onReply(witness(1), {sequence, claim_result::Refused, {}});
        assertDecision(claim_decision::Failed, round);
    }

private:
    static node_identity witness(std::size_t index)
    {
        return {node_name{"witness-" + std::to_string(index)}, 100 + index};
    }

    static claim_round makeRound(std::size_t witnesses, time_point deadline = start + 1h)
    {
        witness_token token;
        for (std::size_t i = 0; i < witnesses; ++i)
            token.witnesses.push_back({witness(i), 4});
        return {self, {1, 1}, token, sequence, {}, start, deadline};
    }

    static claim_reply accepted() { return {sequence, claim_result::Accepted, self}; }
    static claim_reply ownedBy(const node_identity &owner)
    {
        return {sequence, claim_result::OwnedByOther, owner};
    }

    static void assertDecision(claim_decision expected, const claim_round &round)
    {
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(expected),
                             static_cast<int>(round.outcome().decision));
    }

    static constexpr time_point start{5h};
    static constexpr std::uint64_t sequence = 42;
    inline static const node_identity self{node_name{"entry-1"}, 1};
    inline static const node_identity other{node_name{"entry-2"}, 2};
};

CPPUNIT_TEST_SUITE_REGISTRATION(claim_round_test);
