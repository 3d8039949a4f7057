#include "fleet.pb.h"
#include "gateway/status_codec.h"
#include "gateway/value_compression.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <chrono>
#include <string>

using namespace comfreypass;
using namespace comfreypass::gateway;
using namespace std::chrono_literals;

class status_codec_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(status_codec_test);
    CPPUNIT_TEST(statusRoundTrips);
    CPPUNIT_TEST(recordsRoundTrip);
    CPPUNIT_TEST(largeValueIsSentCompressed);
    CPPUNIT_TEST(onlyMissingChangesAreEncoded);
    CPPUNIT_TEST(updateRoundTrips);
    CPPUNIT_TEST(engineUpdateRoundTrips);
    CPPUNIT_TEST(quarantineReportRoundTrips);
    CPPUNIT_TEST(erasRoundTrip);
    CPPUNIT_TEST(messagesWithoutErasAreRead);
    CPPUNIT_TEST(invalidMessageIsRejected);
    CPPUNIT_TEST(unreadableValueOfARecordHidesNoOther);
    CPPUNIT_TEST(updateWithAnUnreadableValueIsNotApplied);
    CPPUNIT_TEST(hugeAgeOfARecordDoesNotOverflow);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a field that is lost in transmission.
    void statusRoundTrips()
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
        status.source = dispatch::source_state::Starting;
        const auto decoded = decodeMessage(encodeStatus(status));
        CPPUNIT_ASSERT(decoded);
        const auto &received = std::get<dispatch::node_status>(decoded.value());
        CPPUNIT_ASSERT(received.source == status.source);
        CPPUNIT_ASSERT_EQUAL(status.address, received.address);
        CPPUNIT_ASSERT_EQUAL(status.incarnation, received.incarnation);
        CPPUNIT_ASSERT_EQUAL(status.domain, received.domain);
        CPPUNIT_ASSERT_EQUAL(status.callerPort, received.callerPort);
        CPPUNIT_ASSERT(received.ready && received.leaving);
        CPPUNIT_ASSERT_EQUAL(status.sequence, received.sequence);
        CPPUNIT_ASSERT(status.revisions == received.revisions);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, received.loads.size());
        CPPUNIT_ASSERT_EQUAL(6U, received.loads[1].running);
        CPPUNIT_ASSERT_EQUAL(123.5, received.teamUsage.at(0).total);
        CPPUNIT_ASSERT_EQUAL(9U, received.latencies.at(0).engine);
        CPPUNIT_ASSERT_EQUAL(0.5, received.latencies.at(0).eventIntervalSeconds);
        CPPUNIT_ASSERT_EQUAL(0.25, received.latencies.at(0).prefillSecondsPerToken);
        CPPUNIT_ASSERT_EQUAL(17U, received.queues.at(0).highestPriority);
        CPPUNIT_ASSERT(status.knownNodes == received.knownNodes);
    }

    // Guards against a field that is lost in transmission.
    void engineUpdateRoundTrips()
    {
        const dispatch::engine_update update{.address = 0x0a010019,
                                             .incarnation = 0x123456789abcdef0,
                                             .sequence = 78,
                                             .loads = {{3, 0, 0}, {5, 6, 7'000}},
                                             .ejected = {9},
                                             .queues = {{"up", 4, 16}}};
        const auto decoded = decodeMessage(encodeEngineUpdate(update));
        CPPUNIT_ASSERT(decoded);
        const auto &received = std::get<dispatch::engine_update>(decoded.value());
        CPPUNIT_ASSERT_EQUAL(update.address, received.address);
        CPPUNIT_ASSERT_EQUAL(update.incarnation, received.incarnation);
        CPPUNIT_ASSERT_EQUAL(update.sequence, received.sequence);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, received.loads.size());
        CPPUNIT_ASSERT_EQUAL(3U, received.loads[0].engine);
        CPPUNIT_ASSERT_EQUAL(0U, received.loads[0].running);
        CPPUNIT_ASSERT_EQUAL(7'000U, received.loads[1].pendingPromptTokens);
        CPPUNIT_ASSERT(update.ejected == received.ejected);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, received.queues.size());
        CPPUNIT_ASSERT_EQUAL(std::string("up"), received.queues[0].upstream);
        CPPUNIT_ASSERT_EQUAL(4U, received.queues[0].count);
        CPPUNIT_ASSERT_EQUAL(16U, received.queues[0].highestPriority);
    }

    // Guards against a record that is modified in transmission, or whose age is lost.
    void recordsRoundTrip()
    {
        std::array<dispatch::record_collection, 2> collections;
        collections[0].write({"op", 4, std::string("\0\xff{}", 4), "", m_now - 300ms});
        collections[1].write({"e", 9, "x"});
        const auto decoded = decodeRecords(encodeRecords(collections, {}, m_now), m_now);
        CPPUNIT_ASSERT(decoded);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, decoded.value().size());
        CPPUNIT_ASSERT(decoded.value()[1].revision == 9);
        CPPUNIT_ASSERT(collections[0].records().at("op") == decoded.value()[0].records.at(0));
    }

    // Guards against a configuration of many routes that takes longer on a slow link than it may.
    void largeValueIsSentCompressed()
    {
        std::string value;
        for (int i = 0; i < 1'400; ++i)
            value
                += R"({"Name":"r)" + std::to_string(i) + R"(","PathPrefix":"/p/","Kind":"once"},)";
        std::array<dispatch::record_collection, 1> collections;
        collections[0].write({"op", 4, value, compressValue(value), m_now});
        const std::string encoded = encodeRecords(collections, {}, m_now);
        CPPUNIT_ASSERT(encoded.size() < value.size() / 4);
        const auto decoded = decodeRecords(encoded, m_now);
        CPPUNIT_ASSERT(decoded);
        CPPUNIT_ASSERT(collections[0].records().at("op") == decoded.value()[0].records.at(0));
        CPPUNIT_ASSERT(!decompressValue("garbage", value.size()));
        const std::string compressed = compressValue(value);
        CPPUNIT_ASSERT(!decompressValue(compressed, value.size() - 1));
        CPPUNIT_ASSERT(!decompressValue(compressed, maxDecompressedValueBytes + 1));
    }

    // Guards against sending a peer all records again, or missing a removal.
    void onlyMissingChangesAreEncoded()
    {
        std::array<dispatch::record_collection, 2> collections;
        collections[0].write({"a", 4, "x"});
        collections[0].write({"b", 5, "y"});
        collections[0].write({"c", 6, "z"});
        collections[0].remove("b", 7);
        collections[1].write({"e", 9, "x"});
        const std::array<dispatch::record_revision, 2> since = {5, 9};
        const auto decoded = decodeRecords(encodeRecords(collections, since, m_now), m_now);
        CPPUNIT_ASSERT(decoded);
        const collection_snapshot &first = decoded.value().at(0);
        CPPUNIT_ASSERT(!first.complete);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.records.size());
        CPPUNIT_ASSERT_EQUAL(std::string("c"), first.records.at(0).key);
        CPPUNIT_ASSERT(first.removed.at("b") == 7);
        CPPUNIT_ASSERT(decoded.value().at(1).records.empty());
    }

    // Guards against an update of the wrong collection or the wrong kind.
    void updateRoundTrips()
    {
        for (const bool removed : {false, true}) {
            const record_update update{.collection = 1,
                                       .previous = 8,
                                       .record = {"e", 9, removed ? "" : "x"},
                                       .removed = removed};
            const auto decoded = decodeMessage(encodeRecordUpdate(update));
            CPPUNIT_ASSERT(decoded);
            const auto &received = std::get<record_update>(decoded.value());
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, received.collection);
            CPPUNIT_ASSERT(received.previous == 8);
            CPPUNIT_ASSERT(received.record == update.record);
            CPPUNIT_ASSERT_EQUAL(removed, received.removed);
        }
    }

    // Guards against a quarantine that peers do not learn.
    void quarantineReportRoundTrips()
    {
        using dispatch::feature_kind;
        constexpr std::uint64_t largest = 0xffff'ffff'ffff'ffff;
        peer_quarantine_report sent{.address = 0x0a010019};
        sent.report.crashes = {{3,
                                {{feature_kind::Segment, 7},
                                 {feature_kind::Segment, largest},
                                 {feature_kind::Request, largest}},
                                20ms,
                                true,
                                40ms,
                                largest},
                               {4, {{feature_kind::Segment, 7}}, 10ms}};
        sent.report.quarantined = {{{{feature_kind::Segment, 9}}, 100s, 4, 1},
                                   {{{feature_kind::Segment, 2},
                                     {feature_kind::Segment, 5},
                                     {feature_kind::Segment, largest}},
                                    80s,
                                    5,
                                    0},
                                   {{{feature_kind::Request, 9}}, 90s, 3, 2}};
        sent.report.answered = {{feature_kind::Segment, 8}, {feature_kind::Request, 6}};
        sent.report.trials = {{{feature_kind::Segment, 2}, {feature_kind::Segment, largest}},
                              {{feature_kind::Request, 9}}};
        const auto decoded = decodeMessage(encodeQuarantineReport(sent));
        CPPUNIT_ASSERT(decoded);
        const auto &received = std::get<peer_quarantine_report>(decoded.value());
        CPPUNIT_ASSERT_EQUAL(sent.address, received.address);
        CPPUNIT_ASSERT_EQUAL(3U, received.report.crashes.at(0).engine);
        CPPUNIT_ASSERT(received.report.crashes[0].isOnlyEngine);
        CPPUNIT_ASSERT(!received.report.crashes.at(1).isOnlyEngine);
        for (std::size_t i = 0; i < sent.report.crashes.size(); ++i)
            CPPUNIT_ASSERT(sent.report.crashes[i].features == received.report.crashes[i].features);
        CPPUNIT_ASSERT(received.report.crashes[0].age == 20ms);
        CPPUNIT_ASSERT(received.report.crashes[0].ranFor == 40ms);
        CPPUNIT_ASSERT_EQUAL(largest, received.report.crashes[0].id);
        for (std::size_t i = 0; i < sent.report.quarantined.size(); ++i) {
            const auto &expected = sent.report.quarantined[i];
            const auto &actual = received.report.quarantined.at(i);
            CPPUNIT_ASSERT(expected.signature == actual.signature);
            CPPUNIT_ASSERT(expected.remaining == actual.remaining);
            CPPUNIT_ASSERT_EQUAL(expected.crashes, actual.crashes);
            CPPUNIT_ASSERT_EQUAL(expected.failedTrials, actual.failedTrials);
        }
        CPPUNIT_ASSERT(sent.report.answered == received.report.answered);
        CPPUNIT_ASSERT(sent.report.trials == received.report.trials);
    }

    // Guards against a peer that compares revisions without their eras.
    void erasRoundTrip()
    {
        dispatch::node_status status;
        status.address = 0x0a010019;
        status.revisions = {{3, 5}, {2, 9}};
        const auto received = decodeMessage(encodeStatus(status));
        CPPUNIT_ASSERT(std::get<dispatch::node_status>(received.value()).revisions
                       == status.revisions);
        for (const bool removed : {false, true}) {
            const record_update update{.collection = 1,
                                       .previous = {2, 8},
                                       .record = {"e", {2, 9}, removed ? "" : "x"},
                                       .removed = removed};
            const auto decoded = decodeMessage(encodeRecordUpdate(update));
            const auto &copy = std::get<record_update>(decoded.value());
            CPPUNIT_ASSERT(copy.previous == update.previous && copy.record == update.record);
        }
        std::array<dispatch::record_collection, 1> collections;
        collections[0].replaceAll({{"a", {3, 5}, "x"}, {"b", {3, 6}, "x"}}, {3, 6});
        collections[0].remove("a", {3, 8});
        const std::array<dispatch::record_revision, 1> since = {{{3, 6}}};
        for (const bool complete : {false, true}) {
            const auto decoded = decodeRecords(complete ? encodeRecords(collections, {}, m_now)
                                                        : encodeRecords(collections, since, m_now),
                                               m_now);
            const collection_snapshot &snapshot = decoded.value().at(0);
            CPPUNIT_ASSERT_EQUAL(complete, snapshot.complete);
            CPPUNIT_ASSERT(snapshot.revision == dispatch::record_revision(3, 8));
            if (complete)
                CPPUNIT_ASSERT(snapshot.records.at(0).revision == dispatch::record_revision(3, 6));
            else
                CPPUNIT_ASSERT(snapshot.removed.at("a") == dispatch::record_revision(3, 8));
        }
    }

    // Guards against a node of an earlier build whose messages are misread.
    void messagesWithoutErasAreRead()
    {
        fleet::PeerMessage message;
        message.mutable_status()->set_address(0x0a010019);
        message.mutable_status()->add_revisions(5);
        message.mutable_status()->add_revisions(9);
        const auto status = decodeMessage(message.SerializeAsString());
        CPPUNIT_ASSERT(std::get<dispatch::node_status>(status.value()).revisions
                       == (std::vector<dispatch::record_revision>{5, 9}));
        message.mutable_update()->set_previous(8);
        message.mutable_update()->mutable_record()->set_key("e");
        message.mutable_update()->mutable_record()->set_revision(9);
        const auto update = decodeMessage(message.SerializeAsString());
        CPPUNIT_ASSERT(std::get<record_update>(update.value()).previous == 8);
        CPPUNIT_ASSERT(std::get<record_update>(update.value()).record.revision == 9);
    }

    // Guards against accepting an unrelated datagram as a message of a node.
    void invalidMessageIsRejected()
    {
        CPPUNIT_ASSERT(!decodeMessage(""));
        CPPUNIT_ASSERT(!decodeMessage("GET / HTTP/1.1\r\n\r\n"));
        CPPUNIT_ASSERT(!decodeRecords("\xff\xff\xff", m_now));
    }

    // Guards against a node that fetches the records without end because of one of them.
    void unreadableValueOfARecordHidesNoOther()
    {
        constexpr int count = 600;
        constexpr int odd = 300;
        for (const std::uint64_t size : {std::uint64_t{5}, ~std::uint64_t{0}}) {
            fleet::RecordSnapshot message;
            fleet::RecordCollection &collection = *message.add_collections();
            collection.set_revision(count);
            collection.set_whole(true);
            for (int i = 0; i < count; ++i) {
                fleet::Record &record = *collection.add_records();
                record.set_key("engine/" + std::to_string(i));
                record.set_revision(static_cast<std::uint64_t>(i) + 1);
                if (i == odd) {
                    record.set_compressed_value("not compressed");
                    record.set_value_size(size);
                } else {
                    record.set_value("v");
                }
            }
            const auto decoded = decodeRecords(message.SerializeAsString(), m_now);
            CPPUNIT_ASSERT(decoded);
            const auto &records = decoded.value().at(0).records;
            CPPUNIT_ASSERT_EQUAL(std::size_t{count}, records.size());
            for (int i = 0; i < count; ++i)
                CPPUNIT_ASSERT_EQUAL(std::string(i == odd ? "" : "v"),
                                     records[static_cast<std::size_t>(i)].value);
        }
    }

    // Guards against a change that is known here without its value, and so never fetched.
    void updateWithAnUnreadableValueIsNotApplied()
    {
        fleet::PeerMessage message;
        fleet::Record &record = *message.mutable_update()->mutable_record();
        record.set_key("engine/e1");
        record.set_compressed_value("not compressed");
        record.set_value_size(5);
        CPPUNIT_ASSERT(!decodeMessage(message.SerializeAsString()));
    }

    // Guards against a record that seems to have been read in the future.
    void hugeAgeOfARecordDoesNotOverflow()
    {
        for (const std::uint64_t age :
             {std::uint64_t{1} << 32U, std::uint64_t{9'223'372'036'854'776},
              std::uint64_t{1} << 63U, ~std::uint64_t{0}}) {
            fleet::RecordSnapshot message;
            fleet::Record &record = *message.add_collections()->add_records();
            record.set_key("engine/e1");
            record.set_age_ms(age);
            const auto decoded = decodeRecords(message.SerializeAsString(), m_now);
            const core::time_point readAt = decoded.value().at(0).records.at(0).readAt;
            CPPUNIT_ASSERT(m_now - readAt == 24h);
        }
    }

private:
    core::time_point m_now{10h};
};

CPPUNIT_TEST_SUITE_REGISTRATION(status_codec_test);
