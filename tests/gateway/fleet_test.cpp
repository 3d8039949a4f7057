#include "gateway/gateway_fixture.h"
#include "transport/free_port.h"
#include "transport/http_server.h"

#include <arpa/inet.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <random>
#include <string>

using namespace comfreypass;
using namespace comfreypass::tests;
using namespace std::chrono_literals;

namespace {

/** Serves the records of a node, like the process around it. */
class record_page : public transport::http_handler
{
public:
    explicit record_page(const gateway::gateway_node &node) : m_node(node) { }

    void onRequest(std::shared_ptr<transport::http_exchange> exchange) override
    {
        exchange->respond(200, {}, m_node.recordsSince({}));
    }

private:
    const gateway::gateway_node &m_node;
};

constexpr std::uint32_t address(std::uint32_t last)
{
    return INADDR_LOOPBACK + last - 1;
}

} // namespace

class fleet_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fleet_test);
    CPPUNIT_TEST(nodesDiscoverEachOtherFromOneSeed);
    CPPUNIT_TEST(nodeWithoutSourceFetchesFromPeer);
    CPPUNIT_TEST(smallChangesAreForwarded);
    CPPUNIT_TEST(limitedNumberOfNodesReadTheSource);
    CPPUNIT_TEST(leavingNodeIsNotAdvertised);
    CPPUNIT_TEST(lonelySeedReadsTheSourceFirst);
    CPPUNIT_TEST(engineRemovedWhileReadersStartIsDropped);
    CPPUNIT_TEST(configurationLostByTheSourceIsFetchedFromPeer);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a partitioned fleet if there are few seeds or some are stale.
    void nodesDiscoverEachOtherFromOneSeed()
    {
        start();
        waitForAllAddresses();
    }

    // Guards against an outdated configuration at a node whose requests the source refuses.
    void nodeWithoutSourceFetchesFromPeer()
    {
        start();
        waitFor("reading", [&] { return m_nodes[0]->source.starts > 0; });
        record_page page(*m_nodes[1]->node);
        transport::http_server_settings settings;
        settings.address = "127.0.0.2";
        settings.port = m_peerSocket;
        transport::http_server server(m_loop.reactor(), settings, page);
        CPPUNIT_ASSERT(server.listen());
        dispatch::configuration newer;
        newer.version = 2;
        // Too large for a datagram, also when compressed, so peers have to fetch it.
        std::string value;
        std::minstd_rand random(1);
        while (value.size() < 5'000)
            value += static_cast<char>(random());
        for (const auto &each : m_nodes)
            each->decoder.contents[value] = newer;
        m_nodes[1]->events().onWritten(gateway::collection_id::Operators,
                                       {"configuration", 20, value});
        waitFor("the records", [&] { return versionOf(*m_nodes[0]) == 2; });
        CPPUNIT_ASSERT(m_nodes[0]->source.restarts > 0);
    }

    // Guards against a change that reaches only the nodes that read the source.
    void smallChangesAreForwarded()
    {
        start();
        waitForAllAddresses();
        dispatch::configuration newer;
        newer.version = 3;
        for (const auto &each : m_nodes)
            each->decoder.contents["v3"] = newer;
        m_nodes[1]->events().onWritten(gateway::collection_id::Operators,
                                       {"configuration", 20, "v3"});
        waitFor("the change",
                [&] { return versionOf(*m_nodes[0]) == 3 && versionOf(*m_nodes[2]) == 3; });
    }

    // Guards against load on the source that grows with the fleet, and against a fleet without
    // reader.
    void limitedNumberOfNodesReadTheSource()
    {
        start();
        waitForAllAddresses();
        const auto readers = [this] {
            int starts = 0;
            for (const auto &each : m_nodes)
                starts += each->source.starts;
            return starts;
        };
        waitFor("readers", [&] { return readers() >= 3; });
        m_loop.runFor(500ms);
        CPPUNIT_ASSERT_EQUAL(3, readers());
    }

    // Guards against sending callers to a node that is about to stop.
    void leavingNodeIsNotAdvertised()
    {
        start();
        waitForAllAddresses();
        m_nodes[2]->node->leave();
        waitFor("two addresses",
                [&] { return m_nodes[0]->node->callerAddresses("d1", 64).size() == 2; });
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_nodes[2]->node->callerAddresses("d1", 64).size());
    }

    // Guards against a fleet that stays without a configuration after a restart of all nodes,
    // because each of them waits for statuses of the others.
    void lonelySeedReadsTheSourceFirst()
    {
        // Another process may take a free port before the node binds it.
        constexpr int maxAttempts = 20;
        bool areStarted = false;
        for (int attempt = 0; attempt < maxAttempts && !areStarted; ++attempt) {
            m_nodes.clear();
            areStarted = startUnconnectedNodes();
        }
        CPPUNIT_ASSERT(areStarted);
        test_node &seed = *m_nodes[0];
        test_node &other = *m_nodes[1];
        waitFor("the seed", [&] { return seed.source.starts > 0; });
        CPPUNIT_ASSERT_EQUAL(0, other.source.starts);
        waitFor("the other node", [&] { return other.source.starts > 0; });
    }

    // Guards against requests to an engine that has left while all readers of the source are new.
    void engineRemovedWhileReadersStartIsDropped()
    {
        start();
        waitForAllAddresses();
        test_node &reader = *m_nodes[0];
        waitFor("reading", [&] { return reader.source.starts > 0; });
        reader.write(gateway::collection_id::Engines, "engine/e1", 11,
                     dispatch::engine_entry{.id = "e1", .upstream = "u"});
        reader.events().onAvailability(gateway::collection_id::Engines, true, "");
        m_loop.runFor(100ms);
        CPPUNIT_ASSERT_EQUAL(1.0, enginesOf(reader));
        reader.events().onRemoved(gateway::collection_id::Engines, "engine/e1", 12);
        CPPUNIT_ASSERT_EQUAL(0.0, enginesOf(reader));
    }

    // Guards against a node that keeps the older configuration of a restored source, since its
    // records are as new as those of its peers.
    void configurationLostByTheSourceIsFetchedFromPeer()
    {
        start();
        waitForAllAddresses();
        record_page page(*m_nodes[1]->node);
        transport::http_server_settings settings;
        settings.address = "127.0.0.2";
        settings.port = m_peerSocket;
        transport::http_server server(m_loop.reactor(), settings, page);
        CPPUNIT_ASSERT(server.listen());
        for (const auto &each : m_nodes) {
            each->decoder.contents["v1"] = versioned(1);
            each->decoder.contents["v2"] = versioned(2);
        }
        snapshot(*m_nodes[1], "v2", {1, 20});
        for (const auto &each : m_nodes)
            snapshot(*each, "v1", {2, 15});
        CPPUNIT_ASSERT_EQUAL(1.0, versionOf(*m_nodes[0]));
        waitFor("the configuration",
                [&] { return versionOf(*m_nodes[0]) == 2 && versionOf(*m_nodes[2]) == 2; });
        CPPUNIT_ASSERT_EQUAL(2.0, versionOf(*m_nodes[1]));
    }

private:
    /** Starts two nodes that never meet, since each uses a peer port of its own. */
    bool startUnconnectedNodes()
    {
        const std::vector<std::uint32_t> seeds = {address(1), address(9)};
        for (const std::uint32_t i : {1U, 2U})
            m_nodes.push_back(std::make_unique<test_node>(
                m_loop.reactor(), address(i), transport::freePort(), transport::freePort(), seeds));
        return m_nodes[0]->node->start() && m_nodes[1]->node->start();
    }

    static dispatch::configuration versioned(std::uint64_t version)
    {
        dispatch::configuration result;
        result.version = version;
        return result;
    }

    static void snapshot(test_node &node, const std::string &value,
                         dispatch::record_revision revision)
    {
        node.events().onSnapshot(gateway::collection_id::Operators,
                                 {{"configuration", revision, value}}, revision);
    }

    void start()
    {
        // A port that is free on one address may be in use on another, or by a UDP socket.
        bool started = false;
        for (int attempt = 0; attempt < 20 && !started; ++attempt)
            started = startAll();
        CPPUNIT_ASSERT(started);
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            dispatch::configuration settings;
            settings.version = 1;
            m_nodes[i]->write(gateway::collection_id::Operators, "configuration", 10, settings);
        }
    }

    bool startAll()
    {
        m_nodes.clear();
        m_peerSocket = transport::freePort();
        const std::uint16_t callerPort = transport::freePort();
        for (std::uint32_t i = 1; i <= 3; ++i) {
            // The seeds are the first node and an address without a node.
            m_nodes.push_back(
                std::make_unique<test_node>(m_loop.reactor(), address(i), callerPort, m_peerSocket,
                                            std::vector<std::uint32_t>{address(1), address(9)}));
            if (!m_nodes.back()->node->start())
                return false;
        }
        return true;
    }

    static double versionOf(test_node &node)
    {
        node.node->refreshMetrics();
        return node.metrics.value(observe::metric::GatewayConfigurationVersion, {});
    }

    static double enginesOf(test_node &node)
    {
        node.node->refreshMetrics();
        return node.metrics.value(observe::metric::GatewayEngines, {});
    }

    void waitForAllAddresses()
    {
        waitFor("all addresses", [&] {
            for (const auto &each : m_nodes) {
                if (each->node->callerAddresses("d1", 64).size() != m_nodes.size())
                    return false;
            }
            return true;
        });
    }

    void waitFor(const std::string &what, const std::function<bool()> &condition)
    {
        m_loop.waitFor(what, [&] {
            for (const auto &each : m_nodes)
                each->node->purge();
            return condition();
        });
    }

    loopback m_loop;
    std::uint16_t m_peerSocket = 0;
    std::vector<std::unique_ptr<test_node>> m_nodes;
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_test);
