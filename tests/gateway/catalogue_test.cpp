#include "gateway/catalogue.h"
#include "gateway/plain_protocol.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <chrono>
#include <string>

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
    CPPUNIT_TEST(recordsOfPeersAreApplied);
    CPPUNIT_TEST(lostUpdateIsDetected);
    CPPUNIT_TEST(gapOfPeerIsNotHidden);
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
        m_catalogue.removeExpiredEngines(m_now + 6s);
        CPPUNIT_ASSERT(m_registry.find("e2") != nullptr);
        m_catalogue.removeExpiredEngines(m_now + 8s);
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

private:
    void writeVersion(std::uint64_t version, std::uint64_t revision)
    {
        dispatch::configuration settings;
        settings.version = version;
        const std::string value = "v" + std::to_string(version);
        m_decoder.contents[value] = settings;
        m_catalogue.onWritten(collection_id::Operators, {"configuration", revision, value}, m_now);
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
