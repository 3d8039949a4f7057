#include "gateway/catalogue.h"
#include "gateway/plain_protocol.h"
#include "gateway/source_monitor.h"
#include "gateway/status_codec.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

using namespace comfreypass;
using namespace comfreypass::gateway;
using namespace std::chrono_literals;

class catalogue_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(catalogue_test);
    CPPUNIT_TEST(configurationVersionNeverDecreases);
    CPPUNIT_TEST(removedEngineIsDroppedImmediately);
    CPPUNIT_TEST(expiredEntriesAreKeptUntilRewritten);
    CPPUNIT_TEST(invalidEntryRemovesEngine);
    CPPUNIT_TEST(oddEntryAmongManyLeavesTheOthers);
    CPPUNIT_TEST(oddEntryOfARestoredEngineIsNotUsedLater);
    CPPUNIT_TEST(recordsOfPeersAreApplied);
    CPPUNIT_TEST(lostUpdateIsDetected);
    CPPUNIT_TEST(gapOfPeerIsNotHidden);
    CPPUNIT_TEST(configurationOutlivesARestoration);
    CPPUNIT_TEST(newNodeGetsTheConfigurationThatOutlivedARestoration);
    CPPUNIT_TEST(engineMissingFromTheCopyIsKeptUntilRewritten);
    CPPUNIT_TEST(evacuationMissingFromTheCopyIsKept);
    CPPUNIT_TEST(drainingEngineIsNotRevivedByTheCopy);
    CPPUNIT_TEST(removedEngineIsNotRevivedByTheCopy);
    CPPUNIT_TEST(removalAfterTheRestorationIsNotHeld);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against returning to an older version that a peer or a late snapshot delivers.
    void configurationVersionNeverDecreases()
    {
        writeVersion(7, 10);
        writeVersion(6, 11);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, m_catalogue.routes()->settings().version);
        writeVersion(9, 12);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, m_catalogue.routes()->settings().version);
    }

    // Guards against requests to an engine that has deregistered.
    void removedEngineIsDroppedImmediately()
    {
        writeEngine("e1", 5);
        m_catalogue.onRemoved(collection_id::Engines, "engine/e1", 6, m_now);
        CPPUNIT_ASSERT(m_registry.find("e1") == nullptr);
    }

    // Guards against dropping all engines after an outage of the source, during which entries
    // expire.
    void expiredEntriesAreKeptUntilRewritten()
    {
        writeEngine("e1", 5);
        writeEngine("e2", 6);
        m_catalogue.holdRemovalsUntil(m_now + 7s);
        m_catalogue.onSnapshot(collection_id::Engines, {}, 9, m_now + 5s);
        CPPUNIT_ASSERT(m_registry.find("e1") != nullptr && m_registry.find("e2") != nullptr);
        writeEngine("e1", 10);
        m_catalogue.endGracePeriods(m_now + 6s);
        CPPUNIT_ASSERT(m_registry.find("e2") != nullptr);
        m_catalogue.endGracePeriods(m_now + 8s);
        CPPUNIT_ASSERT(m_registry.find("e1") != nullptr);
        CPPUNIT_ASSERT(m_registry.find("e2") == nullptr);
    }

    // Guards against an engine that stays in use after another writer has overwritten its entry.
    void invalidEntryRemovesEngine()
    {
        writeEngine("e1", 5);
        m_catalogue.onWritten(collection_id::Engines, {"engine/e1", 6, "garbage"}, m_now);
        CPPUNIT_ASSERT(m_registry.find("e1") == nullptr);
        writeEngine("e1", 7);
        CPPUNIT_ASSERT(m_registry.find("e1") != nullptr);
    }

    // Guards against a list that is lost or stale because of one entry of another writer.
    void oddEntryAmongManyLeavesTheOthers()
    {
        constexpr std::uint64_t count = 600;
        std::array<dispatch::record_collection, 2> peer;
        std::vector<dispatch::published_record> records;
        for (std::uint64_t i = 1; i <= count; ++i) {
            const std::string id = "e" + std::to_string(i);
            records.push_back({"engine/" + id, i, valueOf({id, 1})});
            writeEngine(id, i);
        }
        const auto expectAllBut = [&](const std::string &odd) {
            for (std::uint64_t i = 1; i <= count; ++i) {
                const std::string id = "e" + std::to_string(i);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(id, id != odd, m_registry.find(id) != nullptr);
            }
        };
        expectAllBut("");
        m_catalogue.onPeerUpdate(
            {.collection = 1, .previous = count, .record = {"engine/e300", count + 1, "garbage"}},
            m_peer, m_now);
        expectAllBut("e300");
        writeEngine("e300", count + 2);
        expectAllBut("");
        records.at(6).value = "garbage";
        records.at(6).revision = count + 3;
        m_catalogue.onSnapshot(collection_id::Engines, records, count + 3, m_now);
        expectAllBut("e7");
        writeEngine("e7", count + 4);
        expectAllBut("");
        records.at(6) = {"engine/e7", count + 4, valueOf({"e7", 1})};
        records.at(500).value = "garbage";
        records.at(500).revision = count + 5;
        peer.at(1).replaceAll(records, count + 5);
        const auto received = decodeRecords(encodeRecords(peer, {}, m_now, nullptr), m_now);
        m_catalogue.onPeerRecords(received.value(), m_peer, m_now);
        expectAllBut("e501");
        CPPUNIT_ASSERT(m_catalogue.revisions().at(1) == count + 5);
        writeEngine("e501", count + 6);
        expectAllBut("");
    }

    // Guards against requests to an engine whose entry became odd after a restoration.
    void oddEntryOfARestoredEngineIsNotUsedLater()
    {
        snapshotEngines({{"e1", 1}}, 1);
        m_catalogue.onRemoved(collection_id::Engines, "engine/e1", {1, 21}, m_now);
        snapshotEngines({{"e1", 1}}, 2);
        CPPUNIT_ASSERT(m_registry.find("e1") == nullptr);
        m_catalogue.onWritten(collection_id::Engines, {"engine/e1", {2, 22}, "garbage"}, m_now);
        m_catalogue.endGracePeriods(m_now + 1h);
        CPPUNIT_ASSERT(m_registry.find("e1") == nullptr);
    }

    // Guards against a node that stays outdated while the source refuses its requests.
    void recordsOfPeersAreApplied()
    {
        writeEngine("e1", 5);
        m_decoder.contents["new"] = dispatch::engine_entry{.id = "e2", .upstream = "u"};
        const std::vector<collection_snapshot> snapshots
            = {{.revision = 0}, {.revision = 8, .records = {{"engine/e2", 8, "new"}}}};
        m_catalogue.onPeerRecords(snapshots, m_peer, m_now);
        CPPUNIT_ASSERT(m_registry.find("e1") == nullptr);
        CPPUNIT_ASSERT(m_registry.find("e2") != nullptr);
        CPPUNIT_ASSERT(m_catalogue.revisions().at(1) == 8);
    }

    // Guards against missing a lost update because a later one arrived.
    void lostUpdateIsDetected()
    {
        writeEngine("e1", 5);
        m_decoder.contents["new"] = dispatch::engine_entry{.id = "e2", .upstream = "u"};
        m_catalogue.onPeerUpdate(
            {.collection = 1, .previous = 7, .record = {"engine/e2", 8, "new"}}, m_peer, m_now);
        CPPUNIT_ASSERT(m_registry.find("e2") != nullptr);
        CPPUNIT_ASSERT(m_catalogue.revisions().at(1) == 5);
        m_catalogue.onPeerUpdate(
            {.collection = 1, .previous = 5, .record = {"engine/e1", 9, ""}, .removed = true},
            m_peer, m_now);
        CPPUNIT_ASSERT(m_registry.find("e1") == nullptr);
        CPPUNIT_ASSERT(m_catalogue.revisions().at(1) == 9);
        m_catalogue.onPeerUpdate({.collection = 9, .previous = 0, .record = {"x", 1, ""}}, m_peer,
                                 m_now);
    }

    // Guards against a change that is missing forever: a peer passes on later changes than the one
    // that it has missed itself.
    void gapOfPeerIsNotHidden()
    {
        for (const bool complete : {false, true}) {
            writeEngine("e1", 5);
            std::array<dispatch::record_collection, 2> peer;
            peer[1].write({"engine/e1", 5, "e1"});
            // The peer has not received the removal at revision 6.
            m_decoder.contents["new"] = dispatch::engine_entry{.id = "e2", .upstream = "u"};
            peer[1].writeAfter(6, {"engine/e2", 7, "new"});
            const std::array<dispatch::record_revision, 2> since = {0, complete ? 0U : 5U};
            const auto records = decodeRecords(encodeRecords(peer, since, m_now), m_now);
            m_catalogue.onPeerRecords(records.value(), m_peer, m_now);
            CPPUNIT_ASSERT(m_registry.find("e1") != nullptr && m_registry.find("e2") != nullptr);
            CPPUNIT_ASSERT(m_catalogue.revisions().at(1) == 5);
        }
    }

    // Guards against returning to the older configuration of a restored source.
    void configurationOutlivesARestoration()
    {
        snapshotVersion(12, {1, 18});
        CPPUNIT_ASSERT(m_catalogue.retainedConfiguration() == nullptr);
        snapshotVersion(9, {2, 16});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, m_catalogue.configurationVersion());
        CPPUNIT_ASSERT_EQUAL(std::string("v12"), m_catalogue.retainedConfiguration()->value);
        m_catalogue.onSnapshot(collection_id::Operators, {}, {3, 2}, m_now);
        CPPUNIT_ASSERT_EQUAL(std::string("v12"), m_catalogue.retainedConfiguration()->value);
        writeVersion(15, {3, 18});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{15}, m_catalogue.configurationVersion());
        CPPUNIT_ASSERT(m_catalogue.retainedConfiguration() == nullptr);
    }

    // Guards against a node that starts after a restoration with a configuration that its peers
    // have left behind.
    void newNodeGetsTheConfigurationThatOutlivedARestoration()
    {
        snapshotVersion(12, {1, 18});
        snapshotVersion(9, {2, 16});
        const auto records = decodeRecords(encodeRecords(m_catalogue.collections(), {}, m_now,
                                                         m_catalogue.retainedConfiguration()),
                                           m_now);
        dispatch::engine_registry registry("d1", 1);
        int changes = 0;
        catalogue other(m_decoder, registry, [&changes] { ++changes; });
        other.onSnapshot(collection_id::Operators, {{"configuration", {2, 16}, "v9"}}, {2, 16},
                         m_now);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, other.configurationVersion());
        other.onPeerRecords(records.value(), m_peer, m_now);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, other.configurationVersion());
        CPPUNIT_ASSERT_EQUAL(2, changes);
        CPPUNIT_ASSERT(other.revisions().at(0) == m_catalogue.revisions().at(0));
        CPPUNIT_ASSERT_EQUAL(std::string("v12"), other.retainedConfiguration()->value);
    }

    // Guards against dropping engines that registered after the copy was made, though no call to
    // the source has failed.
    void engineMissingFromTheCopyIsKeptUntilRewritten()
    {
        snapshotEngines({{"e1", 1}, {"e2", 1}}, 1);
        snapshotEngines({}, 2);
        CPPUNIT_ASSERT(m_registry.find("e1") != nullptr && m_registry.find("e2") != nullptr);
        m_catalogue.onWritten(collection_id::Engines, {"engine/e1", {2, 21}, valueOf({"e1", 2})},
                              m_now + 1s);
        m_catalogue.endGracePeriods(m_now + source_monitor::expiredEntryRetention - 1ms);
        CPPUNIT_ASSERT(m_registry.find("e2") != nullptr);
        m_catalogue.endGracePeriods(m_now + source_monitor::expiredEntryRetention);
        CPPUNIT_ASSERT(m_registry.find("e1") != nullptr && m_registry.find("e2") == nullptr);
    }

    // Guards against requests to an evacuated domain until its evacuation is written again.
    void evacuationMissingFromTheCopyIsKept()
    {
        m_decoder.contents["out"] = evacuated_domain{"d1"};
        m_catalogue.onSnapshot(collection_id::Operators, {{"out/d1", {1, 5}, "out"}}, {1, 5},
                               m_now);
        snapshotEngines({{"e1", 1}}, 1);
        CPPUNIT_ASSERT(!isUsed(m_now));
        m_catalogue.onSnapshot(collection_id::Operators, {}, {2, 4}, m_now);
        const core::time_point end = m_now + source_monitor::expiredEntryRetention;
        m_catalogue.endGracePeriods(end - 1ms);
        CPPUNIT_ASSERT(!isUsed(end));
        m_catalogue.onWritten(collection_id::Operators, {"out/d1", {2, 5}, "out"}, m_now);
        m_catalogue.endGracePeriods(end);
        CPPUNIT_ASSERT(!isUsed(end));
        m_catalogue.onSnapshot(collection_id::Operators, {}, {3, 4}, m_now);
        m_catalogue.endGracePeriods(end);
        CPPUNIT_ASSERT(isUsed(end));
    }

    // Guards against requests to an engine that was draining when the copy was restored.
    void drainingEngineIsNotRevivedByTheCopy()
    {
        snapshotEngines({{"e1", 8, true}}, 1);
        snapshotEngines({{"e1", 7}}, 2);
        CPPUNIT_ASSERT(m_registry.find("e1")->draining);
        m_catalogue.endGracePeriods(m_now + 1h);
        CPPUNIT_ASSERT(m_registry.find("e1")->draining);
        snapshotEngines({{.id = "e1", .sequence = 9, .startedAt = 4}}, 3);
        CPPUNIT_ASSERT(m_registry.find("e1")->draining);
        snapshotEngines({{.id = "e1", .sequence = 2, .startedAt = 6}}, 4);
        CPPUNIT_ASSERT(!m_registry.find("e1")->draining);
    }

    // Guards against requests to an engine that has left, or to what uses its address now.
    void removedEngineIsNotRevivedByTheCopy()
    {
        snapshotEngines({{"e1", 8}, {"e2", 8}, {"e3", 8}}, 1);
        for (const std::string id : {"e1", "e2", "e3"})
            m_catalogue.onRemoved(collection_id::Engines, "engine/" + id, {1, 30}, m_now);
        snapshotEngines({{"e1", 8}, {"e2", 8}, {"e3", 8}}, 2);
        CPPUNIT_ASSERT(m_registry.find("e1") == nullptr && m_registry.find("e2") == nullptr);
        m_catalogue.onWritten(collection_id::Engines, {"engine/e2", {2, 21}, valueOf({"e2", 9})},
                              m_now);
        CPPUNIT_ASSERT(m_registry.find("e2") != nullptr);
        m_catalogue.onRemoved(collection_id::Engines, "engine/e3", {2, 22}, m_now);
        m_catalogue.endGracePeriods(m_now + 8s);
        CPPUNIT_ASSERT(m_registry.find("e1") == nullptr);
        // The entry has not expired, so the engine renews it.
        m_catalogue.endGracePeriods(m_now + 1h);
        CPPUNIT_ASSERT(m_registry.find("e1") != nullptr && m_registry.find("e3") == nullptr);
    }

    // Guards against requests to an engine that deregisters after the restoration.
    void removalAfterTheRestorationIsNotHeld()
    {
        snapshotEngines({{"e1", 1}}, 1);
        snapshotEngines({{"e1", 1}}, 2);
        m_catalogue.onRemoved(collection_id::Engines, "engine/e1", {2, 21}, m_now);
        CPPUNIT_ASSERT(m_registry.find("e1") == nullptr);
    }

private:
    struct test_engine
    {
        std::string id;
        std::uint64_t sequence = 0;
        bool draining = false;
        std::uint64_t startedAt = 5;
    };

    /** Returns the value of an engine's record. */
    std::string valueOf(const test_engine &engine)
    {
        std::string value = engine.id + "/" + std::to_string(engine.startedAt) + "/"
                            + std::to_string(engine.sequence)
                            + (engine.draining ? "/draining" : "");
        m_decoder.contents[value] = dispatch::engine_entry{.id = engine.id,
                                                           .upstream = "u",
                                                           .domain = "d1",
                                                           .draining = engine.draining,
                                                           .startedAt = engine.startedAt,
                                                           .sequence = engine.sequence};
        return value;
    }

    void snapshotEngines(const std::vector<test_engine> &engines, std::uint64_t era)
    {
        std::vector<dispatch::published_record> records;
        records.reserve(engines.size());
        for (const test_engine &each : engines)
            records.push_back({"engine/" + each.id, {era, 20}, valueOf(each)});
        m_catalogue.onSnapshot(collection_id::Engines, std::move(records), {era, 20}, m_now);
    }

    void snapshotVersion(std::uint64_t version, dispatch::record_revision revision)
    {
        m_catalogue.onSnapshot(collection_id::Operators,
                               {{"configuration", revision, valueOfVersion(version)}}, revision,
                               m_now);
    }

    bool isUsed(core::time_point now)
    {
        return m_registry.choose({.upstream = "u"}, {}, now).outcome
               == dispatch::selection_outcome::Selected;
    }

    std::string valueOfVersion(std::uint64_t version)
    {
        dispatch::configuration settings;
        settings.version = version;
        std::string value = "v" + std::to_string(version);
        m_decoder.contents[value] = settings;
        return value;
    }

    void writeVersion(std::uint64_t version, dispatch::record_revision revision)
    {
        m_catalogue.onWritten(collection_id::Operators,
                              {"configuration", revision, valueOfVersion(version)}, m_now);
    }

    void writeEngine(const std::string &id, std::uint64_t revision)
    {
        m_decoder.contents[id] = dispatch::engine_entry{.id = id, .upstream = "u"};
        m_catalogue.onWritten(collection_id::Engines, {"engine/" + id, revision, id}, m_now);
    }

    static constexpr std::uint32_t m_peer = 0x0a01'0002;
    core::time_point m_now{10h};
    tests::plain_records m_decoder;
    dispatch::engine_registry m_registry{"d1", 1};
    catalogue m_catalogue{m_decoder, m_registry, [] {
                          }};
};

CPPUNIT_TEST_SUITE_REGISTRATION(catalogue_test);
