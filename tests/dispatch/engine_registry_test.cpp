#include "dispatch/engine_registry.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <map>
#include <string>
#include <vector>

using namespace comfreypass;
using namespace comfreypass::dispatch;
using namespace std::chrono_literals;

class engine_board_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(engine_board_test);
    CPPUNIT_TEST(neverMoreThanTheSlots);
    CPPUNIT_TEST(peersLoadsCount);
    CPPUNIT_TEST(slowerEngineGetsLess);
    CPPUNIT_TEST(peersTellThePaceOfEngines);
    CPPUNIT_TEST(longAnswersKeepAwayFromSlowEngines);
    CPPUNIT_TEST(longPromptsKeepAwayFromSlowEngines);
    CPPUNIT_TEST(drainingAndEvacuatedEnginesGetNothing);
    CPPUNIT_TEST(coldEngineIsBornByTheWholeFleet);
    CPPUNIT_TEST(restoredDomainCountsAsCold);
    CPPUNIT_TEST(unreachableEngineComesBackSlowly);
    CPPUNIT_TEST(silentEngineIsAvoided);
    CPPUNIT_TEST(allSilentMeansThatThisProcessSlept);
    CPPUNIT_TEST(failingEngineGetsLess);
    CPPUNIT_TEST(reusedIdIsANewEngine);
    CPPUNIT_TEST(movedEngineServesItsNewUpstreamOnly);
    CPPUNIT_TEST(preferredEnginesGoFirst);
    CPPUNIT_TEST(singleLoadsReplaceWhatPeersTold);
    CPPUNIT_TEST(peersTellOfEnginesOutOfOrder);
    CPPUNIT_TEST(engineThatFailsAtOnceIsNotTheOnlyOneWithRoom);
    CPPUNIT_TEST(failuresEverywhereKeepTheEnginesInUse);
    CPPUNIT_TEST(changedLoadsAreToldOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against queues at engines, which know no priorities.
    void neverMoreThanTheSlots()
    {
        engine_registry registry("d1", 1);
        add(registry, "e1", 2);
        add(registry, "e2", 2);
        CPPUNIT_ASSERT_EQUAL(4, startAll(registry, 10));
        CPPUNIT_ASSERT(choose(registry).outcome == selection_outcome::NoCapacity);
    }

    // Guards against nodes that each fill an engine on their own.
    void peersLoadsCount()
    {
        engine_registry registry("d1", 1);
        const std::vector<engine_load> early = {{engine_registry::keyOf("e1"), 1}};
        registry.setPeerLoads(7, early);
        add(registry, "e1", 2);
        CPPUNIT_ASSERT_EQUAL(1, startAll(registry, 10));
        registry.setPeerLoads(7, {});
        CPPUNIT_ASSERT_EQUAL(1, startAll(registry, 10));
    }

    // Guards against engines of several generations that get equal load.
    void slowerEngineGetsLess()
    {
        engine_registry registry("d1", 1);
        add(registry, "fast", 18);
        add(registry, "slow", 18);
        registry.onEventInterval("fast", 20ms);
        registry.onEventInterval("slow", 80ms);
        const selection_request usual{.upstream = "u", .promptTokens = 600, .objective = 300ms};
        for (int i = 0; i < 24; ++i)
            registry.onStart(registry.choose(usual, {}, m_now).engine->id, m_now);
        std::map<engine_key, std::uint32_t> loads;
        for (const engine_load &each : registry.ownLoads())
            loads[each.engine] = each.running;
        CPPUNIT_ASSERT(loads[engine_registry::keyOf("fast")]
                       >= 3 * loads[engine_registry::keyOf("slow")]);
        // The slower one still serves what the faster one has no room for.
        CPPUNIT_ASSERT_EQUAL(6U, loads[engine_registry::keyOf("slow")]);
    }

    // Guards against a node of a large fleet that learns of a slow engine at its callers' expense.
    void peersTellThePaceOfEngines()
    {
        engine_registry seen("d1", 1);
        add(seen, "fast", 18);
        add(seen, "slow", 18);
        seen.onEventInterval("fast", 30ms);
        seen.onEventInterval("slow", 140ms);
        engine_registry told("d1", 2);
        add(told, "fast", 18);
        add(told, "slow", 18);
        told.onPeerLatencies(seen.takeNewLatencies(4));
        CPPUNIT_ASSERT(seen.takeNewLatencies(4).empty());
        const selection_request usual{.upstream = "u", .promptTokens = 600, .objective = 300ms};
        for (int i = 0; i < 18; ++i) {
            const engine_selection chosen = told.choose(usual, {}, m_now);
            CPPUNIT_ASSERT_EQUAL(std::string("fast"), chosen.engine->id);
            told.onStart("fast", m_now);
        }
    }

    // Guards against a long answer that a slow engine cannot end in time.
    void longAnswersKeepAwayFromSlowEngines()
    {
        engine_registry registry("d1", 1);
        add(registry, "fast", 18);
        add(registry, "slow", 18);
        registry.onEventInterval("fast", 30ms);
        registry.onEventInterval("slow", 140ms);
        for (int i = 0; i < 17; ++i)
            registry.onStart("fast", m_now);
        const selection_request longAnswer{.upstream = "u",
                                           .promptTokens = 100,
                                           .outputTokens = 60,
                                           .objective = 10s,
                                           .timeLeft = 10s};
        CPPUNIT_ASSERT_EQUAL(std::string("fast"),
                             registry.choose(longAnswer, {}, m_now).engine->id);
    }

    // Guards against a long document that a slow engine reads for longer than its objective.
    void longPromptsKeepAwayFromSlowEngines()
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

    // Guards against new work for engines that leave and domains that operators took out.
    void drainingAndEvacuatedEnginesGetNothing()
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

    // Guards against a cold engine that falls over: 24 a second, half more and 5 are borne.
    void coldEngineIsBornByTheWholeFleet()
    {
        for (const std::size_t nodes : {1, 3, 8, 11, 40, 81}) {
            std::vector<engine_registry> boards;
            engine_entry entry = make("e1", 1'000);
            entry.coldRemaining = 3s;
            for (std::size_t i = 0; i < nodes; ++i) {
                boards.emplace_back("d1", static_cast<std::uint32_t>(i + 1));
                boards.back().update(entry, &m_cold, m_now);
            }
            std::vector<core::time_point> starts;
            for (core::time_point now = m_now; now < m_now + 2'900ms; now += 5ms) {
                for (std::size_t i = 0; i < nodes; ++i) {
                    const fleet_share share{.known = nodes, .reachable = nodes, .rank = i};
                    if (boards[i].choose({.upstream = "u"}, share, now).outcome
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

    // Guards against full load on engines that became cold while their domain was out.
    void restoredDomainCountsAsCold()
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

    // Guards against a restarted engine that gets full load before its entry says that it is cold.
    void unreachableEngineComesBackSlowly()
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

    // Guards against requests for an engine that went dark, until its entry lapses.
    void silentEngineIsAvoided()
    {
        engine_registry registry("d1", 1);
        add(registry, "dark", 10);
        registry.onStart("dark", m_now);
        add(registry, "sound", 10);
        for (int i = 0; i < 5; ++i) {
            const engine_selection chosen = registry.choose({.upstream = "u"}, {}, m_now + 1s);
            CPPUNIT_ASSERT_EQUAL(std::string("sound"), chosen.engine->id);
            registry.onStart("sound", m_now + 1s);
        }
    }

    // Guards against a node that refuses everything after it was paused.
    void allSilentMeansThatThisProcessSlept()
    {
        engine_registry registry("d1", 1);
        add(registry, "e1", 10);
        add(registry, "e2", 10);
        registry.onStart("e1", m_now);
        registry.onStart("e2", m_now);
        CPPUNIT_ASSERT(registry.choose({.upstream = "u"}, {}, m_now + 10s).outcome
                       == selection_outcome::Selected);
    }

    // Guards against an engine that answers health checks and breaks half of its answers.
    void failingEngineGetsLess()
    {
        engine_registry registry("d1", 1);
        add(registry, "grey", 18);
        add(registry, "sound", 18);
        for (int i = 0; i < 3; ++i) {
            registry.onStart("grey", m_now);
            registry.onEnd("grey", attempt_result::Failed, m_now);
        }
        for (int i = 0; i < 10; ++i) {
            const engine_selection chosen = choose(registry);
            CPPUNIT_ASSERT_EQUAL(std::string("sound"), chosen.engine->id);
            registry.onStart("sound", m_now);
        }
        CPPUNIT_ASSERT(registry.choose({.upstream = "u"}, {}, m_now + 30s).engine->id == "grey");
    }

    // Guards against failures of an earlier process that are held against the next one.
    void reusedIdIsANewEngine()
    {
        engine_registry registry("d1", 1);
        engine_entry entry = make("e1", 2);
        entry.startedAt = 100;
        registry.update(entry, nullptr, m_now);
        registry.onStart("e1", m_now);
        registry.onEnd("e1", attempt_result::Unreachable, m_now);
        CPPUNIT_ASSERT(!registry.usable("e1", m_now));
        entry.startedAt = 200;
        registry.update(entry, nullptr, m_now);
        CPPUNIT_ASSERT(registry.usable("e1", m_now));
    }

    // Guards against an address that serves two upstreams.
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

    // Guards against slots of other nodes' engines that are taken by old loads.
    void preferredEnginesGoFirst()
    {
        engine_registry registry("d1", 1);
        add(registry, "own", 4);
        add(registry, "other", 4);
        const std::vector<engine_key> own = {engine_registry::keyOf("own")};
        registry.setPreferred("u", own, true);
        CPPUNIT_ASSERT_EQUAL(4U, registry.preferredCapacityOf("u", m_now).slots);
        // Four unseen starts at each engine leave a margin of two slots at the other one.
        const selection_request request{.upstream = "u", .unseenStarts = 8};
        for (int i = 0; i < 4; ++i) {
            const engine_selection chosen = registry.choose(request, {}, m_now);
            CPPUNIT_ASSERT_EQUAL(std::string("own"), chosen.engine->id);
            registry.onStart("own", m_now);
        }
        CPPUNIT_ASSERT(registry.choose({.upstream = "u", .knownOnly = true}, {}, m_now).outcome
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

    // Guards against loads that are counted twice when news and statuses alternate.
    void singleLoadsReplaceWhatPeersTold()
    {
        engine_registry registry("d1", 1);
        add(registry, "e1", 4);
        const engine_key key = engine_registry::keyOf("e1");
        registry.setPeerLoad(7, {key, 2});
        CPPUNIT_ASSERT_EQUAL(2U, registry.capacityOf("u", m_now).running);
        registry.setPeerLoad(7, {key, 3});
        CPPUNIT_ASSERT_EQUAL(3U, registry.capacityOf("u", m_now).running);
        const std::vector<engine_load> whole = {{key, 1}};
        registry.setPeerLoads(7, whole);
        CPPUNIT_ASSERT_EQUAL(1U, registry.capacityOf("u", m_now).running);
        registry.setPeerLoad(7, {key, 0});
        CPPUNIT_ASSERT_EQUAL(0U, registry.capacityOf("u", m_now).running);
        registry.setPeerLoads(7, {});
        CPPUNIT_ASSERT_EQUAL(0U, registry.capacityOf("u", m_now).running);
    }

    // Guards against each node of a large fleet finding out alone that an engine has crashed, and
    // against a node that is cut off from an engine and keeps the others away from it.
    void peersTellOfEnginesOutOfOrder()
    {
        engine_registry registry("d1", 1);
        add(registry, "crashed", 8);
        add(registry, "sound", 2);
        registry.onPeerEjected(engine_registry::keyOf("crashed"), m_now);
        CPPUNIT_ASSERT_EQUAL(std::string("sound"), choose(registry).engine->id);
        CPPUNIT_ASSERT_EQUAL(2U, registry.capacityOf("u", m_now).slots);
        CPPUNIT_ASSERT_EQUAL(
            std::string("crashed"),
            registry.choose({.upstream = "u", .excluded = m_sound}, {}, m_now + 300ms).engine->id);
        registry.onStart("crashed", m_now + 300ms);
        registry.onEnd("crashed", attempt_result::Served, m_now + 300ms);
        registry.onPeerEjected(engine_registry::keyOf("crashed"), m_now + 310ms);
        CPPUNIT_ASSERT_EQUAL(10U, registry.capacityOf("u", m_now + 310ms).slots);
    }

    // Guards against an engine that fails at once, so that it always has room, and draws in the
    // requests of a fleet whose other engines are full.
    void engineThatFailsAtOnceIsNotTheOnlyOneWithRoom()
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
        // Three until it is suspect, then one for each pause of 0.25, 0.5, 1, 2 and 4 s.
        CPPUNIT_ASSERT(sent <= 10);
        CPPUNIT_ASSERT(!registry.takeEjected().empty());
        registry.onStart("failing", m_now + 10s);
        registry.onEnd("failing", attempt_result::Served, m_now + 10s);
        CPPUNIT_ASSERT(registry.choose({.upstream = "u"}, {}, m_now + 10s).outcome
                       == selection_outcome::Selected);
    }

    // Guards against requests that fail everywhere and take all engines out of use.
    void failuresEverywhereKeepTheEnginesInUse()
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

    // Guards against messages without news, and news that are lost.
    void changedLoadsAreToldOnce()
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

    int startAll(engine_registry &registry, int most) const
    {
        int started = 0;
        for (; started < most; ++started) {
            const engine_selection chosen = choose(registry);
            if (chosen.outcome != selection_outcome::Selected)
                break;
            registry.onStart(chosen.engine->id, m_now);
        }
        return started;
    }

    upstream_settings m_cold{
        .name = "u", .connectionsPerEngine = 0, .coldTime = 3s, .coldRequestsPerSecond = 24};
    const std::vector<std::string> m_sound = {"sound"};
    core::time_point m_now{1h};
};

CPPUNIT_TEST_SUITE_REGISTRATION(engine_board_test);
