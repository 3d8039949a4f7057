#include "idempotency/witness_store.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace comfreypass::core;
using namespace comfreypass::idempotency;
using namespace std::chrono_literals;

class witness_store_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(witness_store_test);
    CPPUNIT_TEST(firstOwnerKeepsTheKey);
    CPPUNIT_TEST(restartedOwnerIsAnotherOwner);
    CPPUNIT_TEST(restartedWitnessRefusesOldTokens);
    CPPUNIT_TEST(windowIsTheCurrentAndNineEarlierEpochs);
    CPPUNIT_TEST(recordOutlastsEveryAcceptedEpoch);
    CPPUNIT_TEST(fullStoreRefusesAndRecovers);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a late or repeated claim that replaces the owner of a key.
    void firstOwnerKeepsTheKey()
    {
        witness_store store{incarnation, start};
        assertVerdict(claim_result::Accepted, store.onClaim(first, claimFor(1, 0), start));
        assertVerdict(claim_result::OwnedByOther, store.onClaim(second, claimFor(1, 0), start));
        const claim_reply repeat = store.onClaim(first, claimFor(1, 0), start + 1s);
        assertVerdict(claim_result::Accepted, repeat);
        CPPUNIT_ASSERT(repeat.owner == first);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, store.size());
    }

    // Guards against a second dispatch by a node that has lost its record of the first in a
    // restart.
    void restartedOwnerIsAnotherOwner()
    {
        witness_store store{incarnation, start};
        store.onClaim(first, claimFor(1, 0), start);
        const node_identity restarted{first.name, first.incarnation + 1};
        assertVerdict(claim_result::OwnedByOther, store.onClaim(restarted, claimFor(1, 0), start));
    }

    // Guards against a witness that accepts a second owner after a restart lost the first.
    void restartedWitnessRefusesOldTokens()
    {
        witness_store store{incarnation + 1, start};
        const claim_reply reply = store.onClaim(first, claimFor(1, 0), start);
        assertVerdict(claim_result::Refused, reply);
        CPPUNIT_ASSERT(reply.owner.name.empty());
    }

    // Guards against the acceptance of epochs whose records were removed or that were never issued.
    void windowIsTheCurrentAndNineEarlierEpochs()
    {
        witness_store store{incarnation, start};
        assertVerdict(claim_result::Refused, store.onClaim(first, claimFor(1, 1), start + 59s));
        assertVerdict(claim_result::Accepted, store.onClaim(first, claimFor(1, 1), start + 60s));
        assertVerdict(claim_result::OwnedByOther,
                      store.onClaim(second, claimFor(1, 1), start + 11 * 60s - 1us));
        assertVerdict(claim_result::Refused,
                      store.onClaim(second, claimFor(1, 1), start + 11 * 60s));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, store.size());
    }

    // Guards against a record that is removed with its first epoch while a newer token is valid.
    void recordOutlastsEveryAcceptedEpoch()
    {
        witness_store store{incarnation, start};
        store.onClaim(first, claimFor(1, 0), start);
        store.onClaim(second, claimFor(1, 5), start + 5 * 60s);
        assertVerdict(claim_result::OwnedByOther,
                      store.onClaim(second, claimFor(1, 5), start + 14 * 60s));
        assertVerdict(claim_result::Refused, store.onClaim(second, claimFor(1, 5), start + 15min));
    }

    // Guards against unbounded memory, and against a full store that evicts a valid record.
    void fullStoreRefusesAndRecovers()
    {
        witness_store store{incarnation, start, {60s, 9, 2}};
        store.onClaim(first, claimFor(1, 0), start);
        store.onClaim(first, claimFor(2, 0), start);
        assertVerdict(claim_result::Refused, store.onClaim(first, claimFor(3, 0), start));
        assertVerdict(claim_result::OwnedByOther, store.onClaim(second, claimFor(1, 0), start));
        assertVerdict(claim_result::Accepted, store.onClaim(first, claimFor(3, 10), start + 10min));
    }

private:
    static claim claimFor(std::uint64_t key, std::uint64_t epoch)
    {
        return {7, {key, key}, incarnation, epoch};
    }

    static void assertVerdict(claim_result expected, const claim_reply &reply)
    {
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(expected), static_cast<int>(reply.result));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, reply.sequence);
    }

    static constexpr comfreypass::core::incarnation incarnation = 100;
    static constexpr time_point start{5h};
    inline static const node_identity first{node_name{"entry-1"}, 1};
    inline static const node_identity second{node_name{"entry-2"}, 2};
};

CPPUNIT_TEST_SUITE_REGISTRATION(witness_store_test);
