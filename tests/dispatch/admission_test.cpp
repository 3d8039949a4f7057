#include "dispatch/admission.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <map>
#include <string>

using namespace comfreypass;
using namespace comfreypass::dispatch;
using namespace std::chrono_literals;

class admission_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(admission_test);
    CPPUNIT_TEST(requestsWaitWhenAllSlotsAreTaken);
    CPPUNIT_TEST(newRequestDoesNotOvertake);
    CPPUNIT_TEST(hopelessWaitIsRefusedAtOnce);
    CPPUNIT_TEST(waitEndsInTime);
    CPPUNIT_TEST(scarceSlotsGoToMoreUrgentRequestsOfPeers);
    CPPUNIT_TEST(slotsElsewhereAreShared);
    CPPUNIT_TEST(shortRequestsDoNotWaitForNews);
    CPPUNIT_TEST(adviceToComeBackIsSpread);
    CPPUNIT_TEST(excludedEngineIsNotTriedAgain);
    CPPUNIT_TEST(preferredSlotsAreTakenWithinAFewLooks);
    CPPUNIT_TEST(emptyEngineOfOthersIsTakenInParts);
    CPPUNIT_TEST(shortRequestsAreNotRefusedByOldLoads);
    CPPUNIT_TEST(nodeWithoutUsableEnginesOfItsOwnUsesOthers);
    CPPUNIT_TEST(slotsGoToRequestsThatCanStillBeOnTime);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_registry.update(
            {.id = "e1", .upstream = "u", .address = "127.0.0.1:1", .domain = "d1", .slots = 2},
            nullptr, m_now);
    }

    // Guards against requests that queue at an engine, where urgency does not count.
    void requestsWaitWhenAllSlotsAreTaken()
    {
        CPPUNIT_ASSERT(submit(1, 0).outcome == admission_outcome::Start);
        CPPUNIT_ASSERT(submit(2, 0).outcome == admission_outcome::Start);
        CPPUNIT_ASSERT(submit(3, 5).outcome == admission_outcome::Wait);
        CPPUNIT_ASSERT(submit(4, 0).outcome == admission_outcome::Wait);
        CPPUNIT_ASSERT(m_admission.poll("u", poll_trigger::OwnCompletion, m_now).empty());
        m_admission.onEnd("u", "e1", attempt_result::Served, {}, m_now);
        const auto grants = m_admission.poll("u", poll_trigger::OwnCompletion, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, grants.size());
        CPPUNIT_ASSERT_EQUAL(core::request_id{4}, grants.at(0).id);
    }

    // Guards against a queue that later requests bypass when a slot frees.
    void newRequestDoesNotOvertake()
    {
        submit(1, 0);
        submit(2, 0);
        submit(3, 1);
        m_admission.onEnd("u", "e1", attempt_result::Served, {}, m_now);
        CPPUNIT_ASSERT(submit(4, 1).outcome == admission_outcome::Wait);
        CPPUNIT_ASSERT(submit(5, 0).outcome == admission_outcome::Start);
    }

    // Guards against callers that are kept waiting for a refusal.
    void hopelessWaitIsRefusedAtOnce()
    {
        submit(1, 0);
        submit(2, 0);
        admission_decision last;
        int waiting = 0;
        for (core::request_id id = 3; id < 50; ++id) {
            last = submit(id, 0);
            if (last.outcome == admission_outcome::Wait)
                ++waiting;
        }
        CPPUNIT_ASSERT(waiting > 0 && waiting < 10);
        CPPUNIT_ASSERT(last.outcome == admission_outcome::Refuse);
        CPPUNIT_ASSERT(last.cause == refusal_cause::WaitTooLong);
        CPPUNIT_ASSERT(last.retryAfter > 0s);
    }

    // Guards against requests that wait for ever.
    void waitEndsInTime()
    {
        submit(1, 0);
        submit(2, 0);
        submit(3, 0);
        CPPUNIT_ASSERT(m_admission.takeExpired(m_now + 900ms).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_admission.takeExpired(m_now + 1s).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_admission.waiting());
    }

    // Guards against a lower priority that is served here while a higher one waits at a peer.
    void scarceSlotsGoToMoreUrgentRequestsOfPeers()
    {
        submit(1, 0);
        tellQueue(3, 1);
        CPPUNIT_ASSERT(submit(2, 2).outcome == admission_outcome::Wait);
        CPPUNIT_ASSERT(submit(3, 1).outcome == admission_outcome::Start);
    }

    // Guards against all nodes that rush for one slot that a peer reports free.
    void slotsElsewhereAreShared()
    {
        int taken = 0;
        constexpr int rounds = 400;
        for (int round = 0; round < rounds; ++round) {
            engine_registry registry("d1", static_cast<std::uint32_t>(round + 1));
            registry.update(
                {.id = "e1", .upstream = "u", .address = "127.0.0.1:1", .domain = "d1", .slots = 1},
                nullptr, m_now);
            fleet_view fleet(1, "d1", {});
            node_status peer = peerStatus(7, 0);
            fleet.onStatus(peer, m_now);
            admission node(registry, fleet, static_cast<std::uint32_t>(round + 1));
            registry.onStart("e1", m_now);
            node.submit(request(1, 0), m_now);
            registry.onEnd("e1", attempt_result::Neutral, m_now);
            // However often it looks, the node takes its part once.
            for (int look = 0; look < 16; ++look)
                taken += static_cast<int>(node.poll("u", poll_trigger::RemoteChange, m_now).size());
        }
        // One of eight waiting requests is here.
        CPPUNIT_ASSERT(taken > rounds / 16 && taken < rounds / 4);
    }

    // Guards against bookings of some milliseconds that wait for the next exchange.
    void shortRequestsDoNotWaitForNews()
    {
        submit(1, 0);
        submit(2, 0);
        submit(3, 0);
        submit(4, 0);
        m_registry.onEnd("e1", attempt_result::Neutral, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             m_admission.poll("u", poll_trigger::RemoteChange, m_now).size());
        m_registry.onEnd("e1", attempt_result::Neutral, m_now);
        CPPUNIT_ASSERT(m_admission.poll("u", poll_trigger::RemoteChange, m_now + 10ms).empty());
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{1},
            m_admission.poll("u", poll_trigger::RemoteChange, m_now + 250ms).size());
    }

    // Guards against refused callers that come back in one wave.
    void adviceToComeBackIsSpread()
    {
        std::map<core::duration, int> seen;
        for (int i = 0; i < 50; ++i)
            ++seen[m_admission.retryAfter("u", m_now)];
        CPPUNIT_ASSERT(seen.size() > 25);
        CPPUNIT_ASSERT(seen.begin()->first > 100ms);
    }

    // Guards against a repeat at the engine that has just failed.
    void excludedEngineIsNotTriedAgain()
    {
        admission_request again = request(1, 0);
        again.excluded = {"e1"};
        again.queueDeadline = m_now;
        const admission_decision decision = m_admission.submit(again, m_now);
        CPPUNIT_ASSERT(decision.outcome == admission_outcome::Refuse);
        CPPUNIT_ASSERT(decision.cause == refusal_cause::NoEngine);
    }

    // Guards against slots of a preferred engine that stay empty until the next exchange while
    // requests wait, and nodes that all take them in one look.
    void preferredSlotsAreTakenWithinAFewLooks()
    {
        const std::vector<engine_key> own = {engine_registry::keyOf("e1")};
        m_registry.setPreferred("u", own, true);
        tellQueue(100, 0);
        int inFirstLook = 0;
        constexpr int rounds = 200;
        for (int round = 0; round < rounds; ++round) {
            const auto id = static_cast<core::request_id>(round) + 10;
            m_registry.onStart("e1", m_now);
            m_registry.onStart("e1", m_now);
            submit(id, 0);
            m_registry.onEnd("e1", attempt_result::Neutral, m_now);
            int looks = 1;
            while (m_admission.poll("u", poll_trigger::RemoteChange, m_now).empty())
                CPPUNIT_ASSERT(++looks < 40);
            inFirstLook += looks == 1 ? 1 : 0;
            m_registry.onEnd("e1", attempt_result::Neutral, m_now);
            m_registry.onEnd("e1", attempt_result::Neutral, m_now);
        }
        CPPUNIT_ASSERT(inFirstLook > rounds / 5 && inFirstLook < rounds / 2);
    }

    // Guards against an engine that joins a busy fleet and gets the requests of all nodes at once.
    void emptyEngineOfOthersIsTakenInParts()
    {
        int taken = 0;
        constexpr int rounds = 300;
        constexpr std::uint32_t peers = 9;
        for (std::uint32_t round = 1; round <= rounds; ++round) {
            engine_registry registry("d1", round);
            fleet_view fleet(1, "d1", {});
            for (std::uint32_t peer = 2; peer < 2 + peers; ++peer) {
                node_status status;
                status.address = peer;
                status.incarnation = 1;
                status.sequence = 1;
                fleet.onStatus(status, m_now);
            }
            admission node(registry, fleet, round);
            const engine_entry own{
                .id = "own", .upstream = "u", .address = "127.0.0.1:1", .domain = "d1", .slots = 1};
            registry.update(own, nullptr, m_now);
            const std::vector<engine_key> preferred = {engine_registry::keyOf("own")};
            registry.setPreferred("u", preferred, true);
            registry.onStart("own", m_now);
            engine_entry joined = own;
            joined.id = "joined";
            joined.slots = 7;
            registry.update(joined, nullptr, m_now);
            for (core::request_id id = 1; id <= 5; ++id)
                taken += node.submit(request(id, 0), m_now).outcome == admission_outcome::Start;
            for (int look = 0; look < 8; ++look)
                taken += static_cast<int>(node.poll("u", poll_trigger::RemoteChange, m_now).size());
        }
        // Ten nodes and seven slots.
        CPPUNIT_ASSERT(taken > rounds / 3);
        CPPUNIT_ASSERT(taken < rounds * 3 / 2);
    }

    // Guards against a node that refuses everything while the engines that it prefers are away.
    void nodeWithoutUsableEnginesOfItsOwnUsesOthers()
    {
        const engine_entry other{
            .id = "e2", .upstream = "u", .address = "127.0.0.1:2", .domain = "d2", .slots = 6};
        m_registry.update(other, nullptr, m_now);
        const std::vector<engine_key> own = {engine_registry::keyOf("e1")};
        m_registry.setPreferred("u", own, true);
        m_registry.setEvacuated("d1", true, m_now);
        CPPUNIT_ASSERT(submit(1, 0).outcome == admission_outcome::Start);
        m_registry.remove("e1");
        CPPUNIT_ASSERT(submit(2, 0).outcome == admission_outcome::Start);
    }

    // Guards against an overload in which each request starts just before its objective ends, so
    // that all first events are late by the time that the engine needs for them.
    void slotsGoToRequestsThatCanStillBeOnTime()
    {
        for (int i = 0; i < 20; ++i)
            m_admission.onFirstEvent("u", 0, 150ms);
        submit(1, 0);
        submit(2, 0);
        admission_request early = request(3, 0);
        early.objectiveAt = m_now + 500ms;
        admission_request late = request(4, 0);
        late.objectiveAt = m_now + 800ms;
        m_admission.submit(early, m_now);
        m_admission.submit(late, m_now);
        const core::time_point before = m_now + 340ms;
        const core::time_point after = m_now + 360ms;
        m_admission.onEnd("u", "e1", attempt_result::Served, {}, after);
        const auto grants = m_admission.poll("u", poll_trigger::OwnCompletion, after);
        CPPUNIT_ASSERT_EQUAL(core::request_id{4}, grants.at(0).id);
        m_admission.submit(late, before);
        m_admission.onEnd("u", "e1", attempt_result::Served, {}, before);
        CPPUNIT_ASSERT_EQUAL(core::request_id{3},
                             m_admission.poll("u", poll_trigger::OwnCompletion, before).at(0).id);
    }

    // Guards against bookings of 15 ms that wait, or are refused, because the engines looked full
    // at the moment of the last exchange 160 ms ago.
    void shortRequestsAreNotRefusedByOldLoads()
    {
        m_admission.setLoadAge(160ms);
        const engine_entry other{
            .id = "e2", .upstream = "u", .address = "127.0.0.1:2", .domain = "d1", .slots = 6};
        m_registry.update(other, nullptr, m_now);
        tellQueue(0, 0);
        // The first one met a hiccup.
        for (core::request_id id = 1; id <= 5; ++id) {
            submit(id, 0);
            m_admission.onEnd("u", "e1", attempt_result::Served, id == 1 ? 600ms : 15ms, m_now);
        }
        const std::vector<engine_load> told = {{engine_registry::keyOf("e1"), 2}};
        m_registry.setPeerLoads(2, told);
        std::map<std::string, int> started;
        for (core::request_id id = 11; id <= 14; ++id)
            ++started[submit(id, 0).engine.id];
        CPPUNIT_ASSERT(started["e1"] > 0);
        CPPUNIT_ASSERT(started["e2"] > 0);
        // The upstream as a whole still gets full, and its queue moves on in milliseconds.
        core::request_id next = 20;
        while (submit(next, 0).outcome == admission_outcome::Start)
            CPPUNIT_ASSERT(++next < 40);
        for (int i = 0; i < 20; ++i)
            CPPUNIT_ASSERT(submit(++next, 0).outcome == admission_outcome::Wait);
    }

private:
    admission_request request(core::request_id id, std::uint32_t priority) const
    {
        return {.id = id,
                .upstream = "u",
                .priority = priority,
                .objectiveAt = m_now + 500ms,
                .queueDeadline = m_now + 1s,
                .excluded = {},
                .objective = 500ms};
    }

    admission_decision submit(core::request_id id, std::uint32_t priority)
    {
        return m_admission.submit(request(id, priority), m_now);
    }

    static node_status peerStatus(std::uint32_t count, std::uint32_t priority)
    {
        node_status peer;
        peer.address = 2;
        peer.incarnation = 1;
        peer.sequence = 1;
        peer.queues = {{"u", count, priority}};
        return peer;
    }

    void tellQueue(std::uint32_t count, std::uint32_t priority)
    {
        m_fleet.onStatus(peerStatus(count, priority), m_now);
    }

    core::time_point m_now{1h};
    engine_registry m_registry{"d1", 1};
    fleet_view m_fleet{1, "d1", {}};
    admission m_admission{m_registry, m_fleet, 1};
};

CPPUNIT_TEST_SUITE_REGISTRATION(admission_test);
