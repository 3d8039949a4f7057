#include "peer.pb.h"
#include "transport/peer_transport.h"
#include "wire/limits.h"

#include <ace/Dev_Poll_Reactor.h>
#include <ace/Reactor.h>
#include <cppunit/extensions/HelperMacros.h>
#include <zmq.hpp>

#include <chrono>
#include <functional>
#include <memory>

using namespace comfreypass;
using namespace comfreypass::transport;
using namespace std::chrono_literals;

namespace {

core::time_point steadyNow()
{
    return core::time_point{std::chrono::duration_cast<core::duration>(
        std::chrono::steady_clock::now().time_since_epoch())};
}

class test_node : public peer_handler
{
public:
    test_node(ACE_Reactor &reactor, peer_transport_settings settings)
        : transport(reactor, std::move(settings), *this)
    {
        const auto opened = transport.open();
        CPPUNIT_ASSERT(opened.has_value());
    }

    void onPeerMessage(wire::received_message &&message) override
    {
        received.push_back(std::move(message));
    }

    std::uint64_t sequence() const
    {
        return std::get<membership::ping>(received.back().body).sequence;
    }

    std::vector<wire::received_message> received;
    peer_transport transport;
};

struct key_pair
{
    key_pair()
    {
        std::string publicText(41, '\0');
        std::string secretText(41, '\0');
        CPPUNIT_ASSERT_EQUAL(0, zmq_curve_keypair(publicText.data(), secretText.data()));
        publicKey = publicText.substr(0, 40);
        secretKey = secretText.substr(0, 40);
    }

    std::string publicKey;
    std::string secretKey;
};

} // namespace

class peer_transport_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(peer_transport_test);
    CPPUNIT_TEST(everyNodeReachesEveryOther);
    CPPUNIT_TEST(restartedPeerBecomesReachable);
    CPPUNIT_TEST(queueForAnUnreachablePeerIsBounded);
    CPPUNIT_TEST(queueForAPeerThatDoesNotReadIsBounded);
    CPPUNIT_TEST(malformedFramesAreCountedAndDropped);
    CPPUNIT_TEST(messagesThatCannotBeSentAreCounted);
    CPPUNIT_TEST(retiredIncarnationIsDropped);
    CPPUNIT_TEST(idleConnectionIsClosedAndReopened);
    CPPUNIT_TEST(onlyAllowedKeysMayConnect);
    CPPUNIT_TEST(addressInUseIsAnError);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against losing the first messages while connections are established, and against
    // missed readiness events of sockets.
    void everyNodeReachesEveryOther()
    {
        std::vector<std::unique_ptr<test_node>> nodes;
        nodes.reserve(3);
        for (int i = 0; i < 3; ++i)
            nodes.push_back(makeNode("n" + std::to_string(i)));
        constexpr std::uint64_t rounds = 50;
        for (std::size_t from = 0; from < 3; ++from) {
            for (std::size_t to = 0; to < 3; ++to)
                nodes[from]->transport.setPeer(name(to), nodes[to]->transport.address());
            for (std::uint64_t i = 1; i <= rounds; ++i) {
                for (std::size_t to = 0; to < 3; ++to)
                    CPPUNIT_ASSERT(sendPing(*nodes[from], name(to), i));
            }
        }
        for (const auto &node : nodes)
            waitFor([&] { return node->received.size() == 3 * rounds; });
        for (const auto &node : nodes) {
            const peer_counters &counters = node->transport.counters();
            CPPUNIT_ASSERT_EQUAL(3 * rounds, counters.sent[0].messages);
            CPPUNIT_ASSERT_EQUAL(3 * rounds, counters.received[0].messages);
            CPPUNIT_ASSERT_EQUAL(counters.sent[0].bytes, counters.received[0].bytes);
            CPPUNIT_ASSERT_EQUAL(std::size_t{3}, node->transport.connections());
        }
    }

    // Guards against a connection that stays broken after the peer was replaced.
    void restartedPeerBecomesReachable()
    {
        const auto sender = makeNode("n0");
        auto peer = makeNode("n1");
        const std::string address = peer->transport.address();
        sender->transport.setPeer(name(1), address);
        sendPing(*sender, name(1), 1);
        waitFor([&] { return !peer->received.empty(); });
        peer.reset();
        peer_transport_settings settings = settingsOf("n1");
        settings.address = address;
        peer = std::make_unique<test_node>(*m_reactor, settings);
        waitFor([&] {
            sendPing(*sender, name(1), 2);
            return !peer->received.empty();
        });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, peer->sequence());
    }

    // Guards against messages that accumulate for an unreachable peer and reach it late.
    void queueForAnUnreachablePeerIsBounded()
    {
        peer_transport_settings settings = settingsOf("n0");
        settings.maxPendingMessages = 5;
        settings.pendingTimeout = 1ms;
        settings.idleTimeout = 40ms;
        test_node sender{*m_reactor, settings};
        auto peer = makeNode("n1");
        const std::string address = peer->transport.address();
        peer.reset();
        sender.transport.setPeer(name(1), address);
        const core::time_point now = steadyNow();
        for (std::uint64_t i = 0; i < 8; ++i)
            CPPUNIT_ASSERT_EQUAL(i < 5, sender.transport.send(name(1), ping(i), now));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, sender.transport.counters().queueFull);
        // The pending messages expire, and then the connection is idle.
        waitFor([&] { return sender.transport.connections() == 0; });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, sender.transport.counters().queueFull);
    }

    // Guards against unbounded memory use for a peer that does not read.
    void queueForAPeerThatDoesNotReadIsBounded()
    {
        const auto sender = makeNode("n0");
        const auto peer = makeNode("n1");
        sender->transport.setPeer(name(1), peer->transport.address());
        sendPing(*sender, name(1), 0);
        waitFor([&] { return !peer->received.empty(); });
        // The reactor does not run, so the peer reads nothing.
        const membership::sheet_patch large{{}, {}, std::string(wire::maxPatchBytes, 'x')};
        std::uint64_t accepted = 0;
        while (sender->transport.send(name(1), large, steadyNow())) {
            ++accepted;
            CPPUNIT_ASSERT(accepted < 20'000);
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, sender->transport.counters().queueFull);
        waitFor([&] { return peer->received.size() >= accepted; });
    }

    // Guards against malformed network data that stops the node or reaches the handler.
    void malformedFramesAreCountedAndDropped()
    {
        const auto node = makeNode("n0");
        const peer_counters &counters = node->transport.counters();
        zmq::context_t context;
        zmq::socket_t raw{context, zmq::socket_type::dealer};
        raw.set(zmq::sockopt::linger, 0);
        raw.connect("tcp://" + node->transport.address());
        const auto sendRaw = [&](std::string_view bytes, bool more = false) {
            raw.send(zmq::buffer(bytes), more ? zmq::send_flags::sndmore : zmq::send_flags::none);
        };
        sendRaw("\xff\xff garbage");
        sendRaw("");
        sendRaw("two", true);
        sendRaw("frames");
        for (int i = 0; i < 10; ++i)
            sendRaw("x", i < 9);
        waitFor([&] { return counters.malformed + counters.unknownVersion == 4; });

        wire::pb::envelope newerVersion;
        const core::node_identity identity{core::node_name{"n1"}, 1};
        newerVersion.ParseFromString(wire::encode(identity, ping(1), steadyNow()));
        newerVersion.set_version(wire::protocolVersion + 1);
        const std::uint64_t before = counters.unknownVersion;
        sendRaw(newerVersion.SerializeAsString());
        waitFor([&] { return counters.unknownVersion == before + 1; });
        CPPUNIT_ASSERT(node->received.empty());

        // A frame over the limit closes the connection; ZeroMQ reconnects.
        sendRaw(std::string(wire::maxMessageBytes + 1, 'x'));
        waitFor([&] {
            raw.send(zmq::buffer(wire::encode(identity, ping(9), steadyNow())),
                     zmq::send_flags::dontwait);
            return !node->received.empty();
        });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, node->sequence());
    }

    // Guards against dropping messages without counting them.
    void messagesThatCannotBeSentAreCounted()
    {
        const auto node = makeNode("n0");
        const peer_counters &counters = node->transport.counters();
        CPPUNIT_ASSERT(!sendPing(*node, name(1), 1));
        node->transport.setPeer(name(1), "no address");
        CPPUNIT_ASSERT(!sendPing(*node, name(1), 1));
        node->transport.setPeer(name(1), node->transport.address());
        node->transport.removePeer(name(1));
        CPPUNIT_ASSERT(!sendPing(*node, name(1), 1));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, counters.unknownPeer);

        node->transport.setPeer(name(0), node->transport.address());
        sendPing(*node, name(0), 1);
        waitFor([&] { return !node->received.empty(); });
        const membership::sheet_patch large{{}, {}, std::string(wire::maxMessageBytes, 'x')};
        CPPUNIT_ASSERT(!node->transport.send(name(0), large, steadyNow()));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, counters.tooLarge);
    }

    // Guards against accepting late messages of a process that is known to have been replaced.
    void retiredIncarnationIsDropped()
    {
        const auto sender = makeNode("n0");
        const auto node = makeNode("n1");
        sender->transport.setPeer(name(1), node->transport.address());
        node->transport.retire({name(0), 7});
        sendPing(*sender, name(1), 1);
        waitFor([&] { return node->transport.counters().pastIncarnation == 1; });
        CPPUNIT_ASSERT(node->received.empty());
    }

    // Guards against keeping connections open to every node ever contacted.
    void idleConnectionIsClosedAndReopened()
    {
        peer_transport_settings settings = settingsOf("n0");
        settings.idleTimeout = 40ms;
        test_node sender{*m_reactor, settings};
        const auto node = makeNode("n1");
        sender.transport.setPeer(name(1), node->transport.address());
        for (std::size_t round = 1; round <= 2; ++round) {
            CPPUNIT_ASSERT(sendPing(sender, name(1), round));
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sender.transport.connections());
            waitFor([&] { return node->received.size() == round; });
            waitFor([&] { return sender.transport.connections() == 0; });
        }
    }

    // Guards against accepting messages from outside the fleet when keys are configured.
    void onlyAllowedKeysMayConnect()
    {
        const key_pair server;
        const key_pair member;
        const key_pair stranger;
        const auto withKeys = [&](const std::string &nodeName, const key_pair &client) {
            peer_transport_settings settings = settingsOf(nodeName);
            settings.curve = {server.publicKey,
                              server.secretKey,
                              client.publicKey,
                              client.secretKey,
                              {member.publicKey}};
            return std::make_unique<test_node>(*m_reactor, settings);
        };
        const auto node = withKeys("n0", member);
        const auto allowed = withKeys("n1", member);
        const auto wrongKey = withKeys("n2", stranger);
        const auto noKey = makeNode("n3");
        for (test_node *sender : {wrongKey.get(), noKey.get(), allowed.get()}) {
            sender->transport.setPeer(name(0), node->transport.address());
            sendPing(*sender, name(0), 1);
        }
        waitFor(
            [&] { return node->transport.counters().refusedKeys > 0 && !node->received.empty(); });
        // By the time this many messages arrive, the refused senders have made several attempts.
        for (std::uint64_t i = 0; i < 100; ++i)
            sendPing(*allowed, name(0), i);
        waitFor([&] { return node->received.size() == 101; });
        for (const wire::received_message &message : node->received)
            CPPUNIT_ASSERT(message.sender.name == name(1));

        peer_transport_settings settings = settingsOf("n4");
        settings.curve
            = {server.publicKey, server.secretKey, member.publicKey, member.secretKey, {"short"}};
        peer_transport malformed{*m_reactor, settings, *node};
        CPPUNIT_ASSERT(malformed.open().error().code == core::errc::InvalidArgument);
    }

    // Guards against a node that keeps running without a socket for its peers.
    void addressInUseIsAnError()
    {
        const auto node = makeNode("n0");
        peer_transport_settings settings = settingsOf("n1");
        settings.address = node->transport.address();
        peer_transport second{*m_reactor, settings, *node};
        CPPUNIT_ASSERT(second.open().error().code == core::errc::Io);
    }

private:
    static core::node_name name(std::size_t index)
    {
        return core::node_name{"n" + std::to_string(index)};
    }

    static peer_transport_settings settingsOf(const std::string &nodeName)
    {
        peer_transport_settings settings;
        settings.self = {core::node_name{nodeName}, 7};
        settings.address = "127.0.0.1:0";
        settings.clock = steadyNow;
        settings.pendingTimeout = 30s;
        settings.maxPendingMessages = 1'000;
        settings.reconnectInitial = 10ms;
        return settings;
    }

    std::unique_ptr<test_node> makeNode(const std::string &nodeName)
    {
        return std::make_unique<test_node>(*m_reactor, settingsOf(nodeName));
    }

    static membership::ping ping(std::uint64_t sequence) { return {sequence, 0, {}, {}}; }

    static bool sendPing(test_node &from, const core::node_name &to, std::uint64_t sequence)
    {
        return from.transport.send(to, ping(sequence), steadyNow());
    }

    void waitFor(const std::function<bool()> &condition)
    {
        const core::time_point limit = steadyNow() + 60s;
        while (!condition()) {
            CPPUNIT_ASSERT_MESSAGE("condition not met within 60 s", steadyNow() < limit);
            ACE_Time_Value maxWait{0, 10'000};
            m_reactor->handle_events(maxWait);
        }
    }

    std::unique_ptr<ACE_Reactor> m_reactor
        = std::make_unique<ACE_Reactor>(new ACE_Dev_Poll_Reactor, true);
};

CPPUNIT_TEST_SUITE_REGISTRATION(peer_transport_test);
