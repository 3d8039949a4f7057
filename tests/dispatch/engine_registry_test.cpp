#include "dispatch/engine_registry.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <map>
#include <string>
#include <vector>

using namespace comfreypass;
using namespace comfreypass::dispatch;
using namespace std::chrono_literals;

class engine_registry_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(engine_registry_test);
    CPPUNIT_TEST(slotsAreNotExceeded);
    CPPUNIT_TEST(peerLoadsAreIncluded);
    CPPUNIT_TEST(slowerEngineReceivesFewerRequests);
    CPPUNIT_TEST(latenciesReportedByPeersAreUsed);
    CPPUNIT_TEST(longResponsesAvoidSlowEngines);
    CPPUNIT_TEST(longPromptsAvoidSlowEngines);
    CPPUNIT_TEST(drainingAndEvacuatedEnginesAreNotSelected);
    CPPUNIT_TEST(fleetKeepsTheRateOfAColdEngine);
    CPPUNIT_TEST(enginesOfARestoredDomainCountAsCold);
    CPPUNIT_TEST(unreachableEngineReturnsAsCold);
    CPPUNIT_TEST(stalledEngineIsNotSelected);
    CPPUNIT_TEST(loadOfAnEngineThatIsListedAgainIsKept);
    CPPUNIT_TEST(stallCheckIsSkippedIfAllEnginesLookStalled);
    CPPUNIT_TEST(requestOfAStalledEngineIsNotMovedToAnotherStalledOne);
    CPPUNIT_TEST(failingEngineReceivesFewerRequests);
    CPPUNIT_TEST(reusedIdIsTreatedAsANewEngine);
    CPPUNIT_TEST(leavingEngineIsNotSelectedWhileItsEntrySaysReady);
    CPPUNIT_TEST(statementOutlivesTheEntry);
    CPPUNIT_TEST(earlierProcessDoesNotExcludeTheNextOne);
    CPPUNIT_TEST(keptStatementsAreBounded);
    CPPUNIT_TEST(pausedEngineIsNotSelectedUntilThePauseEnds);
    CPPUNIT_TEST(shorterPauseDoesNotEndALongerOne);
    CPPUNIT_TEST(pauseIsBounded);
    CPPUNIT_TEST(pauseEndsWithTheProcessOnly);
    CPPUNIT_TEST(slotsReturnGraduallyAfterAPause);
    CPPUNIT_TEST(pauseOfAnUpstreamEndsWithItsFirstEngine);
    CPPUNIT_TEST(movedEngineServesItsNewUpstreamOnly);
    CPPUNIT_TEST(preferredEnginesAreSelectedFirst);
    CPPUNIT_TEST(singleLoadReplacesTheReportedLoad);
    CPPUNIT_TEST(enginesEjectedByPeersAreDegraded);
    CPPUNIT_TEST(immediatelyFailingEngineIsEjected);
    CPPUNIT_TEST(enginesStayInUseIfAllFail);
    CPPUNIT_TEST(loadChangesAreReturnedOnce);
    CPPUNIT_TEST(longPromptWaitsForTheFasterEngineOnlyIfCoordinated);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against long prompts that come late at a slow engine while a fast one frees a slot
    // soon, against waits that end after the objective, and against changes of other upstreams.
    void longPromptWaitsForTheFasterEngineOnlyIfCoordinated()
    {
        engine_registry registry("d1", 1);
        add(registry, "fast", 1);
        add(registry, "slow", 2);
        for (const auto &[id, prefill] : {std::pair("fast", 100ms), std::pair("slow", 900ms)}) {
            registry.onEventInterval(id, 10ms);
            registry.onFirstEvent(id, 10'000, prefill);
        }
        const core::time_point now{1h};
        registry.onStart("fast", now);
        selection_request request{.upstream = "u", .promptTokens = 10'000, .objective = 500ms};
        request.objectiveLeft = 500ms;
        CPPUNIT_ASSERT(registry.choose(request, {}, now).outcome == selection_outcome::Selected);
        request.coordinated = true;
        CPPUNIT_ASSERT(registry.choose(request, {}, now).waitsForFasterEngine);
        request.objectiveLeft = 200ms;
        CPPUNIT_ASSERT(registry.choose(request, {}, now).outcome == selection_outcome::Selected);
        request.objectiveLeft = 500ms;
        request.promptTokens = 600;
        CPPUNIT_ASSERT(registry.choose(request, {}, now).outcome == selection_outcome::Selected);
    }

    // Guards against requests that are queued at engines, which ignore priorities.
    void slotsAreNotExceeded()
    {
        engine_registry registry("d1", 1);
        add(registry, "e1", 2);
        add(registry, "e2", 2);
        CPPUNIT_ASSERT_EQUAL(4, startAll(registry, 10));
        CPPUNIT_ASSERT(choose(registry).outcome == selection_outcome::NoCapacity);
    }

    // Guards against nodes that each fill an engine without regard to their peers.
    void peerLoadsAreIncluded()
    {
        engine_registry registry("d1", 1);
        const std::vector<engine_load> reported = {{engine_registry::keyOf("e1"), 1}};
        registry.setPeerLoads(7, reported);
        add(registry, "e1", 2);
        CPPUNIT_ASSERT_EQUAL(1, startAll(registry, 10));
        registry.setPeerLoads(7, {});
        CPPUNIT_ASSERT_EQUAL(1, startAll(registry, 10));
    }

    // Guards against engines of different speeds that receive equal load.
    void slowerEngineReceivesFewerRequests()
    {
        engine_registry registry("d1", 1);
        add(registry, "fast", 18);
        add(registry, "slow", 18);
        registry.onEventInterval("fast", 20ms);
        registry.onEventInterval("slow", 80ms);
        const selection_request typical{.upstream = "u", .promptTokens = 600, .objective = 300ms};
        for (int i = 0; i < 24; ++i)
            registry.onStart(registry.choose(typical, {}, m_now).engine->id, m_now);
        std::map<engine_key, std::uint32_t> loads;
        for (const engine_load &each : registry.ownLoads())
            loads[each.engine] = each.running;
        CPPUNIT_ASSERT(loads[engine_registry::keyOf("fast")]
                       >= 3 * loads[engine_registry::keyOf("slow")]);
        // The slower engine serves the requests that exceed the capacity of the faster one.
        CPPUNIT_ASSERT_EQUAL(6U, loads[engine_registry::keyOf("slow")]);
    }

    // Guards against a node of a large fleet that must measure each slow engine itself.
    void latenciesReportedByPeersAreUsed()
    {
        engine_registry observer("d1", 1);
        add(observer, "fast", 18);
        add(observer, "slow", 18);
        observer.onEventInterval("fast", 30ms);
        observer.onEventInterval("slow", 140ms);
        engine_registry receiver("d1", 2);
        add(receiver, "fast", 18);
        add(receiver, "slow", 18);
        receiver.onPeerLatencies(observer.takeNewLatencies(4));
        CPPUNIT_ASSERT(observer.takeNewLatencies(4).empty());
        const selection_request typical{.upstream = "u", .promptTokens = 600, .objective = 300ms};
        for (int i = 0; i < 18; ++i) {
            const engine_selection chosen = receiver.choose(typical, {}, m_now);
            CPPUNIT_ASSERT_EQUAL(std::string("fast"), chosen.engine->id);
            receiver.onStart("fast", m_now);
        }
    }

    // Guards against a long response that a slow engine cannot complete before the deadline.
    void longResponsesAvoidSlowEngines()
    {
        engine_registry registry("d1", 1);
        add(registry, "fast", 18);
        add(registry, "slow", 18);
        registry.onEventInterval("fast", 30ms);
        registry.onEventInterval("slow", 140ms);
        for (int i = 0; i < 17; ++i)
            registry.onStart("fast", m_now);
        const selection_request longResponse{.upstream = "u",
                                             .promptTokens = 100,
                                             .outputTokens = 60,
                                             .objective = 10s,
                                             .timeLeft = 10s};
        CPPUNIT_ASSERT_EQUAL(std::string("fast"),
                             registry.choose(longResponse, {}, m_now).engine->id);
    }

    // Guards against a long prompt whose prefill at a slow engine exceeds the latency objective.
    void longPromptsAvoidSlowEngines()
    {
        engine_registry registry("d1", 1);
        add(registry, "fast", 18);
        add(registry, "slow", 18);
        registry.onEventInterval("fast", 20ms);
        registry.onEventInterval("slow", 80ms);
        registry.onFirstEvent("fast", 10'000, 65ms);
        for (int i = 0; i < 17; ++i)
            registry.onStart("fast", m_now);
        const selection_request small{.upstream = "u", .promptTokens = 500, .objective = 1s};
        const selection_request large{.upstream = "u", .promptTokens = 50'000, .objective = 500ms};
        CPPUNIT_ASSERT_EQUAL(std::string("slow"), registry.choose(small, {}, m_now).engine->id);
        CPPUNIT_ASSERT_EQUAL(std::string("fast"), registry.choose(large, {}, m_now).engine->id);
    }

    // Guards against new requests for draining engines and evacuated failure domains.
    void drainingAndEvacuatedEnginesAreNotSelected()
    {
        engine_registry registry("d1", 1);
        engine_entry entry = make("e1", 2);
        entry.draining = true;
        registry.update(entry, nullptr, m_now);
        CPPUNIT_ASSERT(choose(registry).outcome == selection_outcome::NoEngine);
        add(registry, "e2", 2);
        registry.setEvacuated("d1", true, m_now);
        CPPUNIT_ASSERT(choose(registry).outcome == selection_outcome::NoEngine);
        registry.setEvacuated("d1", false, m_now);
        CPPUNIT_ASSERT(choose(registry).outcome == selection_outcome::Selected);
    }

    // Guards against an overloaded cold engine. Accepted are 24 requests per second plus half of
    // that and 5 more.
    void fleetKeepsTheRateOfAColdEngine()
    {
        for (const std::size_t nodes : {1, 3, 8, 11, 40, 81}) {
            std::vector<engine_registry> registries;
            engine_entry entry = make("e1", 1'000);
            entry.coldRemaining = 3s;
            for (std::size_t i = 0; i < nodes; ++i) {
                registries.emplace_back("d1", static_cast<std::uint32_t>(i + 1));
                registries.back().update(entry, &m_cold, m_now);
            }
            std::vector<core::time_point> starts;
            for (core::time_point now = m_now; now < m_now + 2'900ms; now += 5ms) {
                for (std::size_t i = 0; i < nodes; ++i) {
                    const fleet_share share{.known = nodes, .reachable = nodes, .rank = i};
                    if (registries[i].choose({.upstream = "u"}, share, now).outcome
                        == selection_outcome::Selected)
                        starts.push_back(now);
                }
            }
            CPPUNIT_ASSERT(!starts.empty());
            for (std::size_t i = 0; i < starts.size(); ++i) {
                std::size_t inSecond = 0;
                for (std::size_t j = i; j < starts.size() && starts[j] - starts[i] < 1s; ++j)
                    ++inSecond;
                CPPUNIT_ASSERT(inSecond <= 41);
            }
        }
    }

    // Guards against full load on engines that became cold while their domain was evacuated.
    void enginesOfARestoredDomainCountAsCold()
    {
        engine_registry registry("d1", 1);
        registry.update(make("e1", 100), &m_cold, m_now);
        registry.setEvacuated("d1", true, m_now);
        registry.setEvacuated("d1", false, m_now + 10s);
        int started = 0;
        for (int i = 0; i < 100; ++i) {
            if (registry.choose({.upstream = "u"}, {}, m_now + 10s).outcome
                == selection_outcome::Selected)
                ++started;
        }
        CPPUNIT_ASSERT(started <= 2);
    }

    // Guards against full load on a restarted engine before its entry shows that it is cold.
    void unreachableEngineReturnsAsCold()
    {
        engine_registry registry("d1", 1);
        registry.update(make("e1", 100), &m_cold, m_now);
        registry.onStart("e1", m_now);
        registry.onEnd("e1", attempt_result::Unreachable, m_now);
        CPPUNIT_ASSERT(choose(registry).outcome == selection_outcome::NoEngine);
        int started = 0;
        for (int i = 0; i < 100; ++i) {
            if (registry.choose({.upstream = "u"}, {}, m_now + 1s).outcome
                == selection_outcome::Selected)
                ++started;
        }
        CPPUNIT_ASSERT(started >= 1 && started <= 2);
    }

    // Guards against requests for a hung engine until its entry expires.
    void stalledEngineIsNotSelected()
    {
        engine_registry registry("d1", 1);
        add(registry, "stalled", 10);
        registry.onStart("stalled", m_now);
        add(registry, "healthy", 10);
        for (int i = 0; i < 5; ++i) {
            const engine_selection chosen = registry.choose({.upstream = "u"}, {}, m_now + 1s);
            CPPUNIT_ASSERT_EQUAL(std::string("healthy"), chosen.engine->id);
            registry.onStart("healthy", m_now + 1s);
        }
    }

    // Guards against requests beyond the slots of an engine whose entry was away for a moment.
    void loadOfAnEngineThatIsListedAgainIsKept()
    {
        engine_registry registry("d1", 1);
        add(registry, "e1", 2);
        registry.onStart("e1", m_now);
        registry.onStart("e1", m_now);
        registry.remove("e1");
        registry.onEnd("e1", attempt_result::Served, m_now);
        add(registry, "e1", 2);
        CPPUNIT_ASSERT_EQUAL(1U, registry.capacityOf("u", m_now).running);
        registry.onStart("e1", m_now);
        registry.onEnd("e1", attempt_result::Served, m_now);
        CPPUNIT_ASSERT_EQUAL(1U, registry.capacityOf("u", m_now).running);
        registry.onEnd("e1", attempt_result::Served, m_now);
        CPPUNIT_ASSERT_EQUAL(0U, registry.capacityOf("u", m_now).running);
    }

    // Guards against a node that refuses all requests after its process was paused.
    void stallCheckIsSkippedIfAllEnginesLookStalled()
    {
        engine_registry registry("d1", 1);
        add(registry, "e1", 10);
        add(registry, "e2", 10);
        registry.onStart("e1", m_now);
        registry.onStart("e2", m_now);
        CPPUNIT_ASSERT(registry.choose({.upstream = "u"}, {}, m_now + 10s).outcome
                       == selection_outcome::Selected);
    }

    // Guards against requests that leave one silent engine for another after a pause of this
    // process.
    void requestOfAStalledEngineIsNotMovedToAnotherStalledOne()
    {
        engine_registry registry("d1", 1);
        add(registry, "e1", 10);
        registry.onStart("e1", m_now);
        CPPUNIT_ASSERT(
            registry.choose({.upstream = "u", .responsiveOnly = true}, {}, m_now + 1s).outcome
            == selection_outcome::NoCapacity);
        registry.onBytes("e1", m_now + 1s);
        CPPUNIT_ASSERT(
            registry.choose({.upstream = "u", .responsiveOnly = true}, {}, m_now + 1s).outcome
            == selection_outcome::Selected);
    }

    // Guards against an engine that passes health checks but fails half of its requests.
    void failingEngineReceivesFewerRequests()
    {
        engine_registry registry("d1", 1);
        add(registry, "failing", 18);
        add(registry, "healthy", 18);
        for (int i = 0; i < 3; ++i) {
            registry.onStart("failing", m_now);
            registry.onEnd("failing", attempt_result::Failed, m_now);
        }
        for (int i = 0; i < 10; ++i) {
            const engine_selection chosen = choose(registry);
            CPPUNIT_ASSERT_EQUAL(std::string("healthy"), chosen.engine->id);
            registry.onStart("healthy", m_now);
        }
        CPPUNIT_ASSERT(registry.choose({.upstream = "u"}, {}, m_now + 30s).engine->id == "failing");
    }

    // Guards against failures of an earlier process that eject the next one.
    void reusedIdIsTreatedAsANewEngine()
    {
        engine_registry registry("d1", 1);
        engine_entry entry = make("e1", 2);
        entry.startedAt = 100;
        registry.update(entry, nullptr, m_now);
        registry.onStart("e1", m_now);
        registry.onEnd("e1", attempt_result::Unreachable, m_now);
        CPPUNIT_ASSERT(!registry.isUsable("e1", m_now));
        entry.startedAt = 200;
        registry.update(entry, nullptr, m_now);
        CPPUNIT_ASSERT(registry.isUsable("e1", m_now));
    }

    // Guards against requests to an engine that has stated its leaving, while the list lags.
    void leavingEngineIsNotSelectedWhileItsEntrySaysReady()
    {
        engine_registry registry("d1", 1);
        engine_entry entry = make("e1", 2);
        entry.startedAt = 100;
        registry.update(entry, nullptr, m_now);
        CPPUNIT_ASSERT(registry.onLeaving(entry, m_now));
        CPPUNIT_ASSERT(!registry.onLeaving(entry, m_now));
        registry.update(entry, nullptr, m_now);
        engine_entry older = entry;
        older.startedAt = 50;
        registry.update(older, nullptr, m_now);
        CPPUNIT_ASSERT(registry.choose({.upstream = "u"}, {}, m_now + 1h).outcome
                       == selection_outcome::NoEngine);
        CPPUNIT_ASSERT(registry.areAllLeaving("u"));
        add(registry, "e2", 2);
        CPPUNIT_ASSERT_EQUAL(std::string("e2"), choose(registry).engine->id);
        CPPUNIT_ASSERT(!registry.areAllLeaving("u"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, registry.leavingCount());
    }

    // Guards against requests to a leaving engine whose entry expired and was written again.
    void statementOutlivesTheEntry()
    {
        engine_registry registry("d1", 1);
        engine_entry entry = make("e1", 2);
        entry.startedAt = 100;
        registry.update(entry, nullptr, m_now);
        registry.onLeaving(entry, m_now);
        registry.remove("e1");
        registry.update(entry, nullptr, m_now);
        CPPUNIT_ASSERT(!registry.isUsable("e1", m_now));
        // The response arrives after the entry was removed.
        engine_entry removed = make("e2", 2);
        removed.startedAt = 100;
        registry.onLeaving(removed, m_now);
        registry.update(removed, nullptr, m_now);
        CPPUNIT_ASSERT(!registry.isUsable("e2", m_now));
        registry.remove("e2");
        removed.startedAt = 101;
        registry.update(removed, nullptr, m_now);
        CPPUNIT_ASSERT(registry.isUsable("e2", m_now));
    }

    // Guards against a new process that is shunned for a response of the one before it, also
    // without start times.
    void earlierProcessDoesNotExcludeTheNextOne()
    {
        engine_registry registry("d1", 1);
        engine_entry entry = make("e1", 2);
        entry.startedAt = 200;
        registry.update(entry, nullptr, m_now);
        engine_entry before = entry;
        before.startedAt = 100;
        CPPUNIT_ASSERT(!registry.onLeaving(before, m_now));
        CPPUNIT_ASSERT(registry.isUsable("e1", m_now));
        add(registry, "e2", 2);
        registry.onLeaving(make("e2", 2), m_now);
        CPPUNIT_ASSERT(!registry.isUsable("e2", m_now));
        registry.remove("e2");
        add(registry, "e2", 2);
        CPPUNIT_ASSERT(registry.isUsable("e2", m_now));
    }

    // Guards against memory that grows with the number of engines that ever left.
    void keptStatementsAreBounded()
    {
        engine_registry registry("d1", 1);
        engine_entry entry = make("", 2);
        entry.startedAt = 100;
        for (int i = 0; i < 5'000; ++i) {
            entry.id = "e" + std::to_string(i);
            registry.update(entry, nullptr, m_now);
            registry.onLeaving(entry, m_now + i * 1ms);
            registry.remove(entry.id);
        }
        registry.update(entry, nullptr, m_now);
        CPPUNIT_ASSERT(!registry.isUsable(entry.id, m_now));
        entry.id = "e0";
        registry.update(entry, nullptr, m_now);
        CPPUNIT_ASSERT(registry.isUsable("e0", m_now));
    }

    // Guards against requests to an engine that asked for a pause, fractions of seconds included.
    void pausedEngineIsNotSelectedUntilThePauseEnds()
    {
        engine_registry registry("d1", 1);
        add(registry, "e1", 2);
        CPPUNIT_ASSERT(registry.onPauseRequested(make("e1", 2), 1'250ms, m_now) == 1'250ms);
        add(registry, "e1", 2);
        CPPUNIT_ASSERT(!registry.isUsable("e1", m_now + 1'249ms));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, registry.pausedCount(m_now));
        CPPUNIT_ASSERT(registry.isUsable("e1", m_now + 1'250ms));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, registry.pausedCount(m_now + 1'250ms));
    }

    // Guards against a later response that cuts a pause short.
    void shorterPauseDoesNotEndALongerOne()
    {
        engine_registry registry("d1", 1);
        add(registry, "e1", 2);
        registry.onPauseRequested(make("e1", 2), 3s, m_now);
        CPPUNIT_ASSERT(registry.onPauseRequested(make("e1", 2), 500ms, m_now + 1s) == 0s);
        registry.onStart("e1", m_now);
        registry.onEnd("e1", attempt_result::Served, m_now + 1s);
        CPPUNIT_ASSERT(!registry.isUsable("e1", m_now + 2'999ms));
        CPPUNIT_ASSERT(registry.onPauseRequested(make("e1", 2), 3s, m_now + 2s) == 3s);
        CPPUNIT_ASSERT(registry.onPauseRequested(make("e1", 2), 3s, m_now + 2'010ms) == 0s);
        CPPUNIT_ASSERT(!registry.isUsable("e1", m_now + 4'999ms));
    }

    // Guards against an engine that is lost for days by a wrong value.
    void pauseIsBounded()
    {
        engine_registry registry("d1", 1);
        add(registry, "e1", 2);
        CPPUNIT_ASSERT(registry.onPauseRequested(make("e1", 2), 240h, m_now) == 5min);
        CPPUNIT_ASSERT(!registry.isUsable("e1", m_now + 299s));
        CPPUNIT_ASSERT(registry.isUsable("e1", m_now + 5min));
        add(registry, "e2", 9);
        CPPUNIT_ASSERT(registry.onPauseRequested(make("e2", 9), 0s, m_now) == 0s);
        CPPUNIT_ASSERT_EQUAL(9U, registry.capacityOf("u", m_now).slots);
        CPPUNIT_ASSERT(registry.onInvalidPause(make("e1", 2), m_now));
        CPPUNIT_ASSERT(!registry.onInvalidPause(make("e1", 2), m_now));
    }

    // Guards against a pause that a new process inherits, or that the entry of the same one ends.
    void pauseEndsWithTheProcessOnly()
    {
        engine_registry registry("d1", 1);
        engine_entry entry = make("e1", 2);
        entry.startedAt = 100;
        registry.update(entry, nullptr, m_now);
        registry.onPauseRequested(entry, 3s, m_now);
        registry.remove("e1");
        registry.update(entry, nullptr, m_now);
        CPPUNIT_ASSERT(!registry.isUsable("e1", m_now));
        entry.startedAt = 200;
        registry.update(entry, nullptr, m_now);
        CPPUNIT_ASSERT_EQUAL(2, startAll(registry, 9));
    }

    // Guards against all queued requests that start at once when a pause ends.
    void slotsReturnGraduallyAfterAPause()
    {
        engine_registry registry("d1", 1);
        add(registry, "e1", 20);
        registry.onPauseRequested(make("e1", 20), 1s, m_now);
        std::uint32_t last = 0;
        for (const auto after : {0ms, 60ms, 150ms, 240ms, 300ms}) {
            const core::time_point now = m_now + 1s + after;
            const std::uint32_t slots = registry.capacityOf("u", now).slots;
            std::uint32_t started = 0;
            for (;
                 registry.choose({.upstream = "u"}, {}, now).outcome == selection_outcome::Selected;
                 ++started)
                registry.onStart("e1", now);
            CPPUNIT_ASSERT_EQUAL(slots, last + started);
            CPPUNIT_ASSERT(slots > last && started <= 8);
            last = slots;
        }
        CPPUNIT_ASSERT_EQUAL(20U, last);
    }

    // Guards against a retry time that is later than the return of the first engine.
    void pauseOfAnUpstreamEndsWithItsFirstEngine()
    {
        engine_registry registry("d1", 1);
        add(registry, "e1", 2);
        add(registry, "e2", 3);
        CPPUNIT_ASSERT(!registry.pauseOf("u", m_now));
        registry.onPauseRequested(make("e1", 2), 2s, m_now);
        CPPUNIT_ASSERT(!registry.pauseOf("u", m_now));
        registry.onPauseRequested(make("e2", 3), 1s, m_now);
        CPPUNIT_ASSERT(registry.pauseOf("u", m_now)->endsAt == m_now + 1s);
        CPPUNIT_ASSERT_EQUAL(5U, registry.pauseOf("u", m_now)->slots);
        registry.onLeaving(make("e2", 3), m_now);
        CPPUNIT_ASSERT(registry.pauseOf("u", m_now)->endsAt == m_now + 2s);
        registry.onLeaving(make("e1", 2), m_now);
        CPPUNIT_ASSERT(!registry.pauseOf("u", m_now));
    }

    // Guards against an engine that is selected for its former upstream.
    void movedEngineServesItsNewUpstreamOnly()
    {
        engine_registry registry("d1", 1);
        add(registry, "e1", 2);
        engine_entry entry = make("e1", 2);
        entry.upstream = "v";
        registry.update(entry, nullptr, m_now);
        CPPUNIT_ASSERT(choose(registry).outcome == selection_outcome::NoEngine);
        CPPUNIT_ASSERT(registry.choose({.upstream = "v"}, {}, m_now).outcome
                       == selection_outcome::Selected);
        registry.remove("e1");
        CPPUNIT_ASSERT(registry.choose({.upstream = "v"}, {}, m_now).outcome
                       == selection_outcome::NoEngine);
    }

    // Guards against the selection of other nodes' engines by outdated loads.
    void preferredEnginesAreSelectedFirst()
    {
        engine_registry registry("d1", 1);
        add(registry, "own", 4);
        add(registry, "other", 4);
        const std::vector<engine_key> own = {engine_registry::keyOf("own")};
        registry.setPreferred("u", own, true);
        CPPUNIT_ASSERT_EQUAL(4U, registry.preferredCapacityOf("u", m_now).slots);
        // Four unreported starts per engine cause a margin of two slots at the other engine.
        const selection_request request{.upstream = "u", .unreportedStarts = 8};
        for (int i = 0; i < 4; ++i) {
            const engine_selection chosen = registry.choose(request, {}, m_now);
            CPPUNIT_ASSERT_EQUAL(std::string("own"), chosen.engine->id);
            registry.onStart("own", m_now);
        }
        CPPUNIT_ASSERT(registry.choose({.upstream = "u", .freshLoadOnly = true}, {}, m_now).outcome
                       == selection_outcome::NoCapacity);
        for (int i = 0; i < 2; ++i) {
            const engine_selection chosen = registry.choose(request, {}, m_now);
            CPPUNIT_ASSERT_EQUAL(std::string("other"), chosen.engine->id);
            registry.onStart("other", m_now);
        }
        CPPUNIT_ASSERT(registry.choose(request, {}, m_now).outcome
                       == selection_outcome::NoCapacity);
        registry.setPreferred("u", {}, false);
        CPPUNIT_ASSERT(registry.choose(request, {}, m_now).outcome == selection_outcome::Selected);
    }

    // Guards against loads that are counted twice if updates and statuses alternate.
    void singleLoadReplacesTheReportedLoad()
    {
        engine_registry registry("d1", 1);
        add(registry, "e1", 4);
        const engine_key key = engine_registry::keyOf("e1");
        registry.setPeerLoad(7, {key, 2});
        CPPUNIT_ASSERT_EQUAL(2U, registry.capacityOf("u", m_now).running);
        registry.setPeerLoad(7, {key, 3});
        CPPUNIT_ASSERT_EQUAL(3U, registry.capacityOf("u", m_now).running);
        const std::vector<engine_load> allLoads = {{key, 1}};
        registry.setPeerLoads(7, allLoads);
        CPPUNIT_ASSERT_EQUAL(1U, registry.capacityOf("u", m_now).running);
        registry.setPeerLoad(7, {key, 0});
        CPPUNIT_ASSERT_EQUAL(0U, registry.capacityOf("u", m_now).running);
        registry.setPeerLoads(7, {});
        CPPUNIT_ASSERT_EQUAL(0U, registry.capacityOf("u", m_now).running);
    }

    // Guards against a crashed engine that each node of a large fleet must detect itself, and
    // against a node that is disconnected from an engine and ejects it for all others.
    void enginesEjectedByPeersAreDegraded()
    {
        engine_registry registry("d1", 1);
        add(registry, "crashed", 8);
        add(registry, "healthy", 2);
        registry.onPeerEjected(engine_registry::keyOf("crashed"), m_now);
        CPPUNIT_ASSERT_EQUAL(std::string("healthy"), choose(registry).engine->id);
        CPPUNIT_ASSERT_EQUAL(2U, registry.capacityOf("u", m_now).slots);
        CPPUNIT_ASSERT_EQUAL(
            std::string("crashed"),
            registry.choose({.upstream = "u", .excluded = m_healthy}, {}, m_now + 300ms)
                .engine->id);
        registry.onStart("crashed", m_now + 300ms);
        registry.onEnd("crashed", attempt_result::Served, m_now + 300ms);
        registry.onPeerEjected(engine_registry::keyOf("crashed"), m_now + 310ms);
        CPPUNIT_ASSERT_EQUAL(10U, registry.capacityOf("u", m_now + 310ms).slots);
    }

    // Guards against an engine that fails immediately, always has free capacity and thus attracts
    // the requests of a fleet whose other engines are full.
    void immediatelyFailingEngineIsEjected()
    {
        engine_registry registry("d1", 1);
        add(registry, "failing", 7);
        add(registry, "full", 7);
        for (int i = 0; i < 7; ++i)
            registry.onStart("full", m_now);
        int sent = 0;
        for (core::time_point now = m_now; now < m_now + 10s; now += 20ms) {
            registry.onBytes("full", now);
            if (registry.choose({.upstream = "u"}, {}, now).outcome != selection_outcome::Selected)
                continue;
            ++sent;
            registry.onStart("failing", now);
            registry.onEnd("failing", attempt_result::Failed, now);
        }
        // Three requests until it is degraded, then one per ejection of 0.25, 0.5, 1, 2 and 4 s.
        CPPUNIT_ASSERT(sent <= 10);
        CPPUNIT_ASSERT(!registry.takeEjected().empty());
        registry.onStart("failing", m_now + 10s);
        registry.onEnd("failing", attempt_result::Served, m_now + 10s);
        CPPUNIT_ASSERT(registry.choose({.upstream = "u"}, {}, m_now + 10s).outcome
                       == selection_outcome::Selected);
    }

    // Guards against requests that fail at every engine and eject all of them.
    void enginesStayInUseIfAllFail()
    {
        engine_registry registry("d1", 1);
        for (const char *id : {"e1", "e2", "e3"}) {
            add(registry, id, 4);
            for (int i = 0; i < 3; ++i) {
                registry.onStart(id, m_now);
                registry.onEnd(id, attempt_result::Failed, m_now);
            }
        }
        CPPUNIT_ASSERT(choose(registry).outcome == selection_outcome::Selected);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, registry.capacityOf("u", m_now).engines);
    }

    // Guards against empty updates and lost load changes.
    void loadChangesAreReturnedOnce()
    {
        engine_registry registry("d1", 1);
        add(registry, "e1", 4);
        CPPUNIT_ASSERT(!registry.hasPendingUpdates());
        registry.onStart("e1", m_now);
        registry.onStart("e1", m_now);
        const std::vector<engine_load> changes = registry.takeLoadChanges();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changes.size());
        CPPUNIT_ASSERT_EQUAL(2U, changes.at(0).running);
        CPPUNIT_ASSERT(!registry.hasPendingUpdates());
        registry.onEnd("e1", attempt_result::Unreachable, m_now);
        CPPUNIT_ASSERT_EQUAL(1U, registry.takeLoadChanges().at(0).running);
        CPPUNIT_ASSERT(registry.takeEjected() == std::vector{engine_registry::keyOf("e1")});
        CPPUNIT_ASSERT(registry.takeEjected().empty());
    }

private:
    static engine_entry make(const std::string &id, std::uint32_t slots)
    {
        return {
            .id = id, .upstream = "u", .address = "127.0.0.1:1", .domain = "d1", .slots = slots};
    }

    void add(engine_registry &registry, const std::string &id, std::uint32_t slots) const
    {
        registry.update(make(id, slots), nullptr, m_now);
    }

    engine_selection choose(engine_registry &registry) const
    {
        return registry.choose({.upstream = "u"}, {}, m_now);
    }

    int startAll(engine_registry &registry, int maxCount) const
    {
        int started = 0;
        for (; started < maxCount; ++started) {
            const engine_selection chosen = choose(registry);
            if (chosen.outcome != selection_outcome::Selected)
                break;
            registry.onStart(chosen.engine->id, m_now);
        }
        return started;
    }

    upstream_settings m_cold{
        .name = "u", .connectionsPerEngine = 0, .coldTime = 3s, .coldRequestsPerSecond = 24};
    const std::vector<std::string> m_healthy = {"healthy"};
    core::time_point m_now{1h};
};

CPPUNIT_TEST_SUITE_REGISTRATION(engine_registry_test);
