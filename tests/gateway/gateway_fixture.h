#pragma once

#include "gateway/gateway_node.h"
#include "gateway/plain_protocol.h"
#include "observe/metric_registry.h"
#include "support/listening_socket.h"
#include "support/loopback.h"
#include "support/raw_socket.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace comfreypass::tests {

/** A node on 127.0.0.N with its own source and records. */
class test_node
{
public:
    test_node(ACE_Reactor &reactor, std::uint32_t address, std::uint16_t callerPort,
              std::uint16_t peerPort, std::vector<std::uint32_t> seeds,
              core::duration gracePeriod = std::chrono::seconds(8),
              const dispatch::scheduling_settings &scheduling = {});

    /** Returns the receiver for events of this node's source. */
    gateway::record_source_events &events() { return *node; }

    void write(gateway::collection_id collection, const std::string &key, std::uint64_t revision,
               gateway::record_content content);

    plain_protocol callerProtocol;
    plain_records decoder;
    scripted_source source;
    observe::metric_registry metrics;
    std::unique_ptr<gateway::gateway_node> node;
};

/** A node in front of engines that the test simulates byte by byte. */
class gateway_fixture
{
public:
    explicit gateway_fixture(core::duration gracePeriod = std::chrono::seconds(8),
                             const dispatch::scheduling_settings &scheduling = {})
        : owner(startedNode(gracePeriod, scheduling))
    { }

    /** Adds an engine whose responses the test writes, and publishes its entry to the node. */
    tests::listening_socket &addEngine(const std::string &id, std::uint32_t slots = 4,
                                       core::duration coldRemaining = {});

    /** Ends an engine: its port refuses connections, and its entry stays. */
    void stopEngine(const tests::listening_socket &engine);

    /** Publishes the routes /plain/, /once/, /stream/ (resumable) and /fragile/ (not resumable). */
    void configure(std::uint64_t version, std::vector<dispatch::team> teams = {},
                   std::vector<dispatch::upstream_settings> upstreams = {});

    /** Sends a request on a caller's connection. */
    static void send(raw_socket &caller, const std::string &path, const std::string &id,
                     const std::string &fields = "");

    /** Sends a request of a new caller. */
    std::unique_ptr<raw_socket> call(const std::string &path, const std::string &id,
                                     const std::string &fields = "");

    void waitFor(const std::string &what, const std::function<bool()> &condition);
    bool isWaitingForResponse(raw_socket &caller);
    std::string responseOf(raw_socket &caller);

    /** Accepts a connection at an engine while the node keeps running. */
    raw_socket acceptAt(listening_socket &engine);

    /** Reads a complete request from a connection of an engine. */
    std::string requestAt(raw_socket &engine);

    /** Sends bytes of an engine one by one; the node reads each one before the next. */
    void sendByteByByte(raw_socket &engine, std::string_view bytes);

    loopback loop;
    std::uint16_t callerPort = 0;
    std::unique_ptr<test_node> owner;
    test_node &node = *owner;
    std::uint64_t revision = 0;
    /** Limits of the next configuration. */
    dispatch::caller_limits limits;
    /** Longest pause that the streaming routes of the next configuration declare. */
    core::duration longestPause{};
    /** Objective of its streaming routes; from 750 ms, the upstream is coordinated. */
    core::duration streamObjective = std::chrono::milliseconds(500);

private:
    std::unique_ptr<test_node> startedNode(core::duration gracePeriod,
                                           const dispatch::scheduling_settings &scheduling);

    std::vector<std::unique_ptr<listening_socket>> m_engines;
};

} // namespace comfreypass::tests
