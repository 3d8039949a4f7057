#include "peer.pb.h"
#include "wire/codec.h"
#include "wire/limits.h"
#include "wire/sample_messages.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <random>

using namespace comfreypass;
using namespace comfreypass::wire;
using namespace std::chrono_literals;

class codec_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(codec_test);
    CPPUNIT_TEST(everyMessageTypeRoundTrips);
    CPPUNIT_TEST(deadlinesConvertToTheReceiversClock);
    CPPUNIT_TEST(leaseRoundsUpAndPermitValidityRoundsDown);
    CPPUNIT_TEST(rejectsUnknownVersionAndBody);
    CPPUNIT_TEST(rejectsFieldsOutOfRange);
    CPPUNIT_TEST(decodesCorruptedBytesWithoutCrashing);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a field that the codec omits when it writes or reads.
    void everyMessageTypeRoundTrips()
    {
        const std::vector<peer_message> samples = sampleMessages(now);
        CPPUNIT_ASSERT_EQUAL(std::variant_size_v<peer_message>, samples.size());
        for (std::size_t type = 0; type < samples.size(); ++type) {
            CPPUNIT_ASSERT_EQUAL(type, samples[type].index());
            const auto received = decodeText(encode(sender, samples[type], now));
            CPPUNIT_ASSERT(received.has_value());
            CPPUNIT_ASSERT(received.value().sender == sender);
            CPPUNIT_ASSERT(received.value().body == samples[type]);
        }
    }

    // Guards against a deadline that is compared with the clock of another process.
    void deadlinesConvertToTheReceiversClock()
    {
        scheduling::permit_request request = sampleOf<scheduling::permit_request>();
        request.deadline = now + 2s;
        const core::time_point receiverNow{500h};
        const auto received = decodeText(encode(sender, request, now), receiverNow);
        const auto &body = std::get<scheduling::permit_request>(received.value().body);
        CPPUNIT_ASSERT(body.deadline == receiverNow + 2s);

        request.deadline = now - 2s;
        const auto late = decodeText(encode(sender, request, now), receiverNow);
        CPPUNIT_ASSERT(std::get<scheduling::permit_request>(late.value().body).deadline
                       == receiverNow);
    }

    // Guards against a lease that expires at the voter while the scheduler still relies on it, and
    // against a permit that the entry node uses after its validity.
    void leaseRoundsUpAndPermitValidityRoundsDown()
    {
        auto poll = sampleOf<scheduling::lease_poll>();
        poll.lease = 1500ms + 1us;
        const auto receivedPoll = decodeText(encode(sender, poll, now));
        CPPUNIT_ASSERT(std::get<scheduling::lease_poll>(receivedPoll.value().body).lease == 1501ms);

        auto grant = sampleOf<scheduling::permit_grant>();
        grant.validFor = 700ms - 1us;
        const auto receivedGrant = decodeText(encode(sender, grant, now));
        CPPUNIT_ASSERT(std::get<scheduling::permit_grant>(receivedGrant.value().body).validFor
                       == 699ms);
    }

    // Guards against misreading a message of a later release.
    void rejectsUnknownVersionAndBody()
    {
        pb::envelope envelope = envelopeOf(scheduling::step_down{core::upstream_name{"agenda"}});
        envelope.set_version(protocolVersion + 1);
        assertRejected(core::errc::Refused, envelope);
        envelope.set_version(protocolVersion);
        envelope.clear_body();
        assertRejected(core::errc::InvalidArgument, envelope);
        // Field 99 is a body that this release does not define.
        CPPUNIT_ASSERT(decodeText(envelope.SerializeAsString() + "\x9a\x06\x01x").has_error());
    }

    // Guards against received values that reach the decision libraries without validation.
    void rejectsFieldsOutOfRange()
    {
        using change = std::function<void(pb::envelope &)>;
        const std::string longName(maxNameBytes + 1, 'x');
        const std::vector<std::pair<std::size_t, change>> changes = {
            {0,
             [](pb::envelope &e) {
                 e.clear_sender();
             }},
            {0,
             [&](pb::envelope &e) {
                 e.set_sender(longName);
             }},
            {0,
             [](pb::envelope &e) {
                 e.set_sender("entry\n1");
             }},
            {0,
             [](pb::envelope &e) {
                 firstMember(e).set_state(4);
             }},
            {0,
             [](pb::envelope &e) {
                 firstMember(e).set_peer_address("127.0.0.1:0");
             }},
            {0,
             [](pb::envelope &e) {
                 firstMember(e).set_peer_address("127.0.0.1:65536");
             }},
            {0,
             [](pb::envelope &e) {
                 firstMember(e).set_peer_address("localhost:7000");
             }},
            {0,
             [](pb::envelope &e) {
                 firstMember(e).set_caller_address("[::g]:1");
             }},
            {0,
             [](pb::envelope &e) {
                 firstMember(e).clear_name();
             }},
            {0,
             [](pb::envelope &e) {
                 while (e.ping().updates_size() <= static_cast<int>(maxMembersPerMessage))
                     *e.mutable_ping()->add_updates() = e.ping().updates(0);
             }},
            {3,
             [](pb::envelope &e) {
                 e.mutable_sheet_request()->set_offset(1'000'001);
             }},
            {4,
             [](pb::envelope &e) {
                 e.mutable_sheet_patch()->set_merge_patch(std::string(maxPatchBytes + 1, 'x'));
             }},
            {5,
             [](pb::envelope &e) {
                 e.mutable_sheet_chunk()->set_offset(~0U);
             }},
            {5,
             [](pb::envelope &e) {
                 e.mutable_sheet_chunk()->set_total_bytes(1'000'001);
             }},
            {6,
             [](pb::envelope &e) {
                 e.mutable_poll()->set_lease_ms(maxLeaseMs + 1);
             }},
            {6,
             [](pb::envelope &e) {
                 e.mutable_poll()->mutable_ramps(0)->clear_engine();
             }},
            {7,
             [](pb::envelope &e) {
                 e.mutable_vote()->mutable_running(0)->set_tier(5);
             }},
            {8,
             [](pb::envelope &e) {
                 e.mutable_step_down()->clear_upstream();
             }},
            {9,
             [](pb::envelope &e) {
                 e.mutable_permit_request()->set_tier(256);
             }},
            {9,
             [](pb::envelope &e) {
                 e.mutable_permit_request()->set_remaining_ms(~0U);
             }},
            {9,
             [](pb::envelope &e) {
                 const int tooMany = static_cast<int>(maxPrefixHashes) + 1;
                 e.mutable_permit_request()->mutable_prefix_hashes()->Resize(tooMany, 1);
             }},
            {10,
             [](pb::envelope &e) {
                 e.mutable_grant()->clear_engine();
             }},
            {11,
             [](pb::envelope &e) {
                 e.mutable_refusal()->set_reason(7);
             }},
            {12,
             [](pb::envelope &e) {
                 e.mutable_release()->set_result(4);
             }},
            {13,
             [](pb::envelope &e) {
                 e.mutable_preempt()->clear_upstream();
             }},
            {15,
             [](pb::envelope &e) {
                 e.mutable_claim_reply()->set_verdict(3);
             }},
            {15,
             [](pb::envelope &e) {
                 e.mutable_claim_reply()->clear_owner();
             }},
        };
        const std::vector<peer_message> samples = sampleMessages(now);
        for (const auto &[type, apply] : changes) {
            pb::envelope envelope = envelopeOf(samples[type]);
            apply(envelope);
            assertRejected(core::errc::InvalidArgument, envelope);
        }
    }

    // Guards against a crash or an endless loop on truncated or corrupted bytes.
    void decodesCorruptedBytesWithoutCrashing()
    {
        std::mt19937_64 random{1};
        for (const peer_message &sample : sampleMessages(now)) {
            const std::string bytes = encode(sender, sample, now);
            for (std::size_t length = 0; length < bytes.size(); ++length)
                (void)decodeText(bytes.substr(0, length));
            for (int round = 0; round < 200; ++round) {
                std::string corrupted = bytes;
                corrupted[random() % corrupted.size()] = static_cast<char>(random());
                const auto received = decodeText(corrupted);
                if (received.has_value())
                    (void)encode(received.value().sender, received.value().body, now);
            }
        }
        CPPUNIT_ASSERT(decodeText(std::string(maxMessageBytes + 1, 'x')).has_error());
    }

private:
    static core::result<received_message> decodeText(const std::string &bytes,
                                                     core::time_point at = now)
    {
        return decode(std::as_bytes(std::span{bytes}), at);
    }

    template<class Message>
    static Message sampleOf()
    {
        for (const peer_message &sample : sampleMessages(now)) {
            if (const auto *found = std::get_if<Message>(&sample))
                return *found;
        }
        return {};
    }

    static pb::envelope envelopeOf(const peer_message &message)
    {
        pb::envelope envelope;
        CPPUNIT_ASSERT(envelope.ParseFromString(encode(sender, message, now)));
        return envelope;
    }

    static pb::member_update &firstMember(pb::envelope &envelope)
    {
        return *envelope.mutable_ping()->mutable_updates(0);
    }

    static void assertRejected(core::errc code, const pb::envelope &envelope)
    {
        const auto received = decodeText(envelope.SerializeAsString());
        CPPUNIT_ASSERT(received.has_error());
        CPPUNIT_ASSERT_EQUAL(core::toString(code), core::toString(received.error().code));
    }

    static constexpr core::time_point now{100h};
    inline static const core::node_identity sender{core::node_name{"entry-1"}, 11};
};

CPPUNIT_TEST_SUITE_REGISTRATION(codec_test);
