#include "scheduling/lease_holder.h"
#include "scheduling/scheduler_options.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

using namespace comfreypass;
using namespace comfreypass::scheduling;
using std::chrono::milliseconds;

class lease_holder_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(lease_holder_test);
    CPPUNIT_TEST(voteEndsOneLeaseAfterThePollLessDrift);
    CPPUNIT_TEST(sharesNeverExceedTheLimit);
    CPPUNIT_TEST(votesGainedFromAnotherSchedulerSettleLater);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a vote that outlives the lease granted by a voter with a different clock.
    void voteEndsOneLeaseAfterThePollLessDrift()
    {
        lease_holder holder = started(2);
        const std::uint64_t sequence = holder.startRound(at(0));
        holder.onVote(node(0), vote(sequence), at(1'000));
        CPPUNIT_ASSERT(holder.expire(at(1'484)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, holder.expire(at(1'485)).size());
        holder.onVote(node(0), vote(sequence), at(1'485));
        holder.onVote(node(1), vote(sequence + 1), at(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, holder.held());
    }

    // Guards against shares of two schedulers that add up to more than the limit.
    void sharesNeverExceedTheLimit()
    {
        for (std::uint32_t limit = 1; limit < 20; ++limit) {
            for (std::size_t votes = 0; votes <= 8; ++votes) {
                const auto one = lease_holder::share(limit, votes, 8);
                CPPUNIT_ASSERT(one + lease_holder::share(limit, 8 - votes, 8) <= limit);
            }
        }
        CPPUNIT_ASSERT_EQUAL(4U, lease_holder::share(4, 9, 8));
    }

    // Guards against dispatches to a cold engine on which unknown dispatches of an earlier
    // scheduler are running.
    void votesGainedFromAnotherSchedulerSettleLater()
    {
        lease_holder holder = started(2);
        std::uint64_t sequence = 0;
        for (int millis = 0; millis <= 11'000; millis += 500) {
            sequence = holder.startRound(at(millis));
            holder.onVote(node(0), vote(sequence), at(millis));
            const std::size_t expected = millis >= 10'200 ? 1 : 0;
            CPPUNIT_ASSERT_EQUAL(expected, holder.settled(at(millis)));
        }
        holder.drop(node(0));
        holder.onVote(node(0), vote(sequence), at(11'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, holder.settled(at(11'000)));
        holder.onVote(node(1), vote(sequence), at(11'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, holder.settled(at(11'000)));
    }

private:
    static core::time_point at(int millis) { return core::time_point{milliseconds{millis}}; }
    static core::node_identity node(std::uint64_t number)
    {
        return {core::node_name{"entry-" + std::to_string(number)}, number + 1};
    }
    static lease_vote vote(std::uint64_t sequence)
    {
        lease_vote made;
        made.sequence = sequence;
        made.granted = true;
        return made;
    }
    static lease_holder started(std::size_t nodes)
    {
        lease_holder holder(defaultLease, milliseconds{10'000});
        std::vector<core::node_identity> live;
        for (std::size_t i = 0; i < nodes; ++i)
            live.push_back(node(i));
        holder.setVoters(live, nodes);
        holder.start(at(0));
        return holder;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(lease_holder_test);
