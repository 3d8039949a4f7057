#include "idempotency/claim_table.h"
#include "idempotency/witness_store.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>

using namespace comfreypass::core;
using namespace comfreypass::idempotency;
using namespace std::chrono_literals;

class claim_table_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(claim_table_test);
    CPPUNIT_TEST(wonKeyIsDispatchedOnce);
    CPPUNIT_TEST(repeatedRequestsAtTheOwnerAreKnown);
    CPPUNIT_TEST(abandonedKeyMayBeClaimedAgain);
    CPPUNIT_TEST(recordedClaimOfAFailedRoundBlocksOtherNodesOnly);
    CPPUNIT_TEST(splitVotesPreventBothDispatches);
    CPPUNIT_TEST(abandonedRoundIgnoresLateReplies);
    CPPUNIT_TEST(dispatchIsKeptUntilWitnessesRefuseItsToken);
    CPPUNIT_TEST(openRoundsAndKeysAreBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_witnesses.clear();
        for (comfreypass::core::incarnation incarnation = 0; incarnation < 3; ++incarnation)
            m_witnesses.emplace_back(incarnation, start);
    }

    // Guards against a second dispatch after one won round.
    void wonKeyIsDispatchedOnce()
    {
        claim_table table{first};
        CPPUNIT_ASSERT(!table.dispatch(key, start));
        CPPUNIT_ASSERT(claimAt(table, first, {0, 1}).decision == claim_decision::Won);
        CPPUNIT_ASSERT(table.state(key) == key_state::Owned);
        CPPUNIT_ASSERT(table.dispatch(key, start));
        CPPUNIT_ASSERT(!table.dispatch(key, start));
    }

    // Guards against a repeated request at the same node that is run a second time.
    void repeatedRequestsAtTheOwnerAreKnown()
    {
        claim_table table{first};
        CPPUNIT_ASSERT(begin(table).result == claim_start::status::Started);
        assertKnown(key_state::Claiming, table);
        table.abandonRound(key);
        claimAt(table, first, {0, 1});
        assertKnown(key_state::Owned, table);
        table.dispatch(key, start);
        assertKnown(key_state::Dispatched, table);
        table.finish(key);
        assertKnown(key_state::Finished, table);
        table.abandonOwned(key);
        assertKnown(key_state::Finished, table);
    }

    // Guards against a key that stays blocked after a refusal between claim and dispatch.
    void abandonedKeyMayBeClaimedAgain()
    {
        claim_table table{first};
        claimAt(table, first, {0, 1});
        table.abandonOwned(key);
        CPPUNIT_ASSERT(!table.dispatch(key, start));
        CPPUNIT_ASSERT(claimAt(table, first, {0, 1, 2}).decision == claim_decision::Won);
        CPPUNIT_ASSERT(table.dispatch(key, start));
    }

    // Guards against a win of another node while the first node may still claim again and win.
    void recordedClaimOfAFailedRoundBlocksOtherNodesOnly()
    {
        claim_table table{first};
        claim_table otherTable{second};
        // The witnesses record the claim, but their replies are lost.
        for (const outgoing_claim &sent : begin(table).messages)
            deliver(sent, first, start);
        const claim_step step = table.onTime(start + 250ms);
        CPPUNIT_ASSERT(step.ended.size() == 1 && step.ended.front().notRun());
        CPPUNIT_ASSERT(!table.dispatch(key, start));

        const claim_outcome lost = claimAt(otherTable, second, {0, 1});
        CPPUNIT_ASSERT(lost.decision == claim_decision::Lost && lost.otherOwner == first);
        CPPUNIT_ASSERT(claimAt(table, first, {0, 1}).decision == claim_decision::Won);
    }

    // Guards against a dispatch by either of two nodes that were each accepted by one witness.
    void splitVotesPreventBothDispatches()
    {
        claim_table left{first};
        claim_table right{second};
        const auto fromLeft = begin(left).messages;
        const auto fromRight = begin(right).messages;
        left.onReply(identity(0), deliver(fromLeft[0], first, start));
        right.onReply(identity(1), deliver(fromRight[1], second, start));
        left.onReply(identity(1), deliver(fromLeft[1], first, start));
        right.onReply(identity(0), deliver(fromRight[0], second, start));
        for (claim_table *table : {&left, &right}) {
            const claim_step step = table->onTime(start + 250ms);
            CPPUNIT_ASSERT(step.ended.size() == 1);
            CPPUNIT_ASSERT(step.ended.front().decision == claim_decision::Failed);
            CPPUNIT_ASSERT(!table->dispatch(key, start + 250ms));
            CPPUNIT_ASSERT(table->state(key) == key_state::Free);
        }
    }

    // Guards against a dispatch, after late replies, of a request that the node has refused.
    void abandonedRoundIgnoresLateReplies()
    {
        claim_table table{first};
        const auto sent = begin(table).messages;
        table.abandonRound(key);
        for (std::size_t i = 0; i < sent.size(); ++i)
            CPPUNIT_ASSERT(!table.onReply(identity(i), deliver(sent[i], first, start)));
        CPPUNIT_ASSERT(!table.dispatch(key, start));
        CPPUNIT_ASSERT(!table.nextTime().has_value());
    }

    // Guards against a node that drops a dispatched key while its token can still win again.
    void dispatchIsKeptUntilWitnessesRefuseItsToken()
    {
        claim_table table{first};
        claimAt(table, first, {0, 1});
        table.dispatch(key, start);
        table.onTime(start + 1h);
        assertKnown(key_state::Dispatched, table);
        table.finish(key);
        table.onTime(start + 2h);
        CPPUNIT_ASSERT(table.state(key) == key_state::Free);
        CPPUNIT_ASSERT(claimAt(table, first, {0, 1, 2}, start + 11min).decision
                       == claim_decision::Failed);
    }

    // Guards against unbounded memory for many requests.
    void openRoundsAndKeysAreBounded()
    {
        claim_settings settings;
        settings.maxOpenRounds = 1;
        settings.maxKeys = 2;
        claim_table table{first, settings};
        const auto status = [&](request_key other) {
            return table.begin(other, token(), start + 1min, start).result;
        };
        CPPUNIT_ASSERT(status(key) == claim_start::status::Started);
        CPPUNIT_ASSERT(status({2, 2}) == claim_start::status::Full);
        table.abandonRound(key);
        CPPUNIT_ASSERT(table.begin(key, {}, start + 1min, start).result
                       == claim_start::status::Impossible);
        CPPUNIT_ASSERT(table.begin(key, token(), start, start).result
                       == claim_start::status::Impossible);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, table.size());
    }

private:
    static node_identity identity(std::size_t witness)
    {
        return {node_name{std::to_string(witness)}, witness};
    }

    static witness_token token()
    {
        return {{{identity(0), 0}, {identity(1), 0}, {identity(2), 0}}};
    }

    static claim_start begin(claim_table &table, time_point now = start)
    {
        return table.begin(key, token(), now + 1min, now);
    }

    claim_reply deliver(const outgoing_claim &sent, const node_identity &owner, time_point now)
    {
        return m_witnesses.at(std::stoul(sent.to.text())).onClaim(owner, sent.message, now);
    }

    /** Runs a round in which the given witnesses reply and the others are down. */
    claim_outcome claimAt(claim_table &table, const node_identity &owner,
                          const std::vector<std::size_t> &up, time_point now = start)
    {
        const auto sent = begin(table, now).messages;
        for (const std::size_t witness : up) {
            const auto ended
                = table.onReply(identity(witness), deliver(sent.at(witness), owner, now));
            if (ended.has_value())
                return *ended;
        }
        return table.onTime(now + 1s).ended.at(0);
    }

    static void assertKnown(key_state expected, claim_table &table)
    {
        const claim_start repeat = begin(table);
        CPPUNIT_ASSERT(repeat.result == claim_start::status::Known);
        CPPUNIT_ASSERT(repeat.known == expected);
        CPPUNIT_ASSERT(repeat.messages.empty());
    }

    std::deque<witness_store> m_witnesses;

    static constexpr time_point start{5h};
    static constexpr request_key key{1, 1};
    inline static const node_identity first{node_name{"entry-1"}, 11};
    inline static const node_identity second{node_name{"entry-2"}, 12};
};

CPPUNIT_TEST_SUITE_REGISTRATION(claim_table_test);
