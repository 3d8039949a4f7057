#include "gateway/status_codec.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <string>

using namespace comfreypass;
using namespace comfreypass::gateway;

class status_codec_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(status_codec_test);
    CPPUNIT_TEST(statusComesBackWhole);
    CPPUNIT_TEST(recordsComeBackWhole);
    CPPUNIT_TEST(peerGetsWhatItLacks);
    CPPUNIT_TEST(updateComesBackWhole);
    CPPUNIT_TEST(newsComeBackWhole);
    CPPUNIT_TEST(garbageIsRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a field that is not passed on.
    void statusComesBackWhole()
    {
        dispatch::node_status status;
        status.address = 0x0a010019;
        status.incarnation = 0x123456789abcdef0;
        status.domain = "d1";
        status.callerPort = 8221;
        status.ready = true;
        status.leaving = true;
        status.sequence = 77;
        status.revisions = {5, 9};
        status.loads = {{3, 4}, {5, 6}};
        status.teamUsage = {{"t", 123.5}};
        status.latencies = {{9, 0.5, 0.25}};
        status.queues = {{"u", 3, 17}};
        status.knownNodes = {1, 2};
        status.source = dispatch::source_state::Recovering;
        const auto decoded = decodeMessage(encodeStatus(status));
        CPPUNIT_ASSERT(decoded);
        const auto &got = std::get<dispatch::node_status>(decoded.value());
        CPPUNIT_ASSERT(got.source == status.source);
        CPPUNIT_ASSERT_EQUAL(status.address, got.address);
        CPPUNIT_ASSERT_EQUAL(status.incarnation, got.incarnation);
        CPPUNIT_ASSERT_EQUAL(status.domain, got.domain);
        CPPUNIT_ASSERT_EQUAL(status.callerPort, got.callerPort);
        CPPUNIT_ASSERT(got.ready && got.leaving);
        CPPUNIT_ASSERT_EQUAL(status.sequence, got.sequence);
        CPPUNIT_ASSERT(status.revisions == got.revisions);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, got.loads.size());
        CPPUNIT_ASSERT_EQUAL(6U, got.loads[1].running);
        CPPUNIT_ASSERT_EQUAL(123.5, got.teamUsage.at(0).total);
        CPPUNIT_ASSERT_EQUAL(9U, got.latencies.at(0).engine);
        CPPUNIT_ASSERT_EQUAL(0.5, got.latencies.at(0).eventIntervalSeconds);
        CPPUNIT_ASSERT_EQUAL(0.25, got.latencies.at(0).prefillSecondsPerToken);
        CPPUNIT_ASSERT_EQUAL(17U, got.queues.at(0).highestPriority);
        CPPUNIT_ASSERT(status.knownNodes == got.knownNodes);
    }

    // Guards against a field that is not passed on.
    void newsComeBackWhole()
    {
        const dispatch::engine_update update{.address = 0x0a010019,
                                             .incarnation = 0x123456789abcdef0,
                                             .sequence = 78,
                                             .loads = {{3, 0}, {5, 6}},
                                             .ejected = {9}};
        const auto decoded = decodeMessage(encodeEngineUpdate(update));
        CPPUNIT_ASSERT(decoded);
        const auto &got = std::get<dispatch::engine_update>(decoded.value());
        CPPUNIT_ASSERT_EQUAL(update.address, got.address);
        CPPUNIT_ASSERT_EQUAL(update.incarnation, got.incarnation);
        CPPUNIT_ASSERT_EQUAL(update.sequence, got.sequence);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, got.loads.size());
        CPPUNIT_ASSERT_EQUAL(3U, got.loads[0].engine);
        CPPUNIT_ASSERT_EQUAL(0U, got.loads[0].running);
        CPPUNIT_ASSERT(update.ejected == got.ejected);
    }

    // Guards against a record that changes on the way to a peer.
    void recordsComeBackWhole()
    {
        std::array<dispatch::record_collection, 2> collections;
        collections[0].write({"op", 4, std::string("\0\xff{}", 4)});
        collections[1].write({"e", 9, "x"});
        const auto decoded = decodeRecords(encodeRecords(collections, {}));
        CPPUNIT_ASSERT(decoded);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, decoded.value().size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, decoded.value()[1].revision);
        CPPUNIT_ASSERT(collections[0].records().at("op") == decoded.value()[0].records.at(0));
    }

    // Guards against a peer that gets everything again, or misses a removal.
    void peerGetsWhatItLacks()
    {
        std::array<dispatch::record_collection, 2> collections;
        collections[0].write({"a", 4, "x"});
        collections[0].write({"b", 5, "y"});
        collections[0].write({"c", 6, "z"});
        collections[0].remove("b", 7);
        collections[1].write({"e", 9, "x"});
        const std::array<std::uint64_t, 2> since = {5, 9};
        const auto decoded = decodeRecords(encodeRecords(collections, since));
        CPPUNIT_ASSERT(decoded);
        const collection_snapshot &first = decoded.value().at(0);
        CPPUNIT_ASSERT(!first.whole);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.records.size());
        CPPUNIT_ASSERT_EQUAL(std::string("c"), first.records.at(0).key);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, first.removed.at("b"));
        CPPUNIT_ASSERT(decoded.value().at(1).records.empty());
    }

    // Guards against a change that is applied to the wrong collection or as the wrong kind.
    void updateComesBackWhole()
    {
        for (const bool removed : {false, true}) {
            const record_update update{.collection = 1,
                                       .previous = 8,
                                       .record = {"e", 9, removed ? "" : "x"},
                                       .removed = removed};
            const auto decoded = decodeMessage(encodeUpdate(update));
            CPPUNIT_ASSERT(decoded);
            const auto &got = std::get<record_update>(decoded.value());
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, got.collection);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, got.previous);
            CPPUNIT_ASSERT(got.record == update.record);
            CPPUNIT_ASSERT_EQUAL(removed, got.removed);
        }
    }

    // Guards against a foreign datagram that becomes a node.
    void garbageIsRefused()
    {
        CPPUNIT_ASSERT(!decodeMessage(""));
        CPPUNIT_ASSERT(!decodeMessage("GET / HTTP/1.1\r\n\r\n"));
        CPPUNIT_ASSERT(!decodeRecords("\xff\xff\xff"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(status_codec_test);
