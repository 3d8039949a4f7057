#include "gateway/gateway_fixture.h"

#include "transport/free_port.h"

#include <arpa/inet.h>

#include <chrono>
#include <utility>

namespace comfreypass::tests {

using namespace std::chrono_literals;

namespace {

gateway::node_settings settingsOf(std::uint32_t address, std::uint16_t callerPort,
                                  std::uint16_t peerPort, std::vector<std::uint32_t> seeds,
                                  core::duration gracePeriod,
                                  const dispatch::scheduling_settings &scheduling)
{
    gateway::node_settings settings;
    settings.name = "n" + std::to_string(address & 0xff);
    settings.domain = "d1";
    settings.callers = {address, callerPort};
    settings.peers = {address, peerPort};
    settings.seeds = std::move(seeds);
    settings.retryRatio = 0.2;
    settings.retryExtra = 50;
    settings.gracePeriod = gracePeriod;
    settings.scheduling = scheduling;
    return settings;
}

dispatch::route makeRoute(const std::string &name, dispatch::request_kind kind, bool resumable)
{
    return {.name = name,
            .host = "a.example",
            .pathPrefix = "/" + name + "/",
            .kind = kind,
            .timeout = 4s,
            .objective = 500ms,
            .priority = 1,
            .maxAttempts = 2,
            .isPublic = false,
            .resumable = resumable,
            .targets = {{"u", 1}}};
}

} // namespace

test_node::test_node(ACE_Reactor &reactor, std::uint32_t address, std::uint16_t callerPort,
                     std::uint16_t peerPort, std::vector<std::uint32_t> seeds,
                     core::duration gracePeriod, const dispatch::scheduling_settings &scheduling)
    : metrics({core::node_name("n"), 1}),
      node(std::make_unique<gateway::gateway_node>(
          reactor,
          settingsOf(address, callerPort, peerPort, std::move(seeds), gracePeriod, scheduling),
          callerProtocol, decoder, source, metrics))
{ }

void test_node::write(gateway::collection_id collection, const std::string &key,
                      std::uint64_t revision, gateway::record_content content)
{
    const std::string value = key + "@" + std::to_string(revision);
    decoder.contents[value] = std::move(content);
    events().onWritten(collection, {key, revision, value});
}

// A free port may be taken before the node binds it, or be in use by a UDP socket.
std::unique_ptr<test_node>
gateway_fixture::startedNode(core::duration gracePeriod,
                             const dispatch::scheduling_settings &scheduling)
{
    constexpr int maxAttempts = 20;
    for (int attempt = 0; attempt < maxAttempts; ++attempt) {
        callerPort = transport::freePort();
        auto started = std::make_unique<test_node>(
            loop.reactor(), INADDR_LOOPBACK, callerPort, transport::freePort(),
            std::vector<std::uint32_t>(), gracePeriod, scheduling);
        if (started->node->start())
            return started;
    }
    throw std::runtime_error("cannot start the node");
}

listening_socket &gateway_fixture::addEngine(const std::string &id, std::uint32_t slots,
                                             core::duration coldRemaining)
{
    m_engines.push_back(std::make_unique<listening_socket>());
    const std::string address = "127.0.0.1:" + std::to_string(m_engines.back()->port());
    node.write(gateway::collection_id::Engines, "engine/" + id, ++revision,
               dispatch::engine_entry{.id = id,
                                      .upstream = "u",
                                      .address = address,
                                      .domain = "d1",
                                      .slots = slots,
                                      .coldRemaining = coldRemaining});
    return *m_engines.back();
}

void gateway_fixture::stopEngine(const tests::listening_socket &engine)
{
    std::erase_if(m_engines, [&engine](const auto &each) { return each.get() == &engine; });
}

void gateway_fixture::configure(std::uint64_t version, std::vector<dispatch::team> teams,
                                std::vector<dispatch::upstream_settings> upstreams)
{
    using dispatch::request_kind;
    dispatch::configuration settings;
    settings.version = version;
    settings.limits = limits;
    settings.routes = {makeRoute("plain", request_kind::Idempotent, false),
                       makeRoute("once", request_kind::NonIdempotent, false),
                       makeRoute("stream", request_kind::Streaming, true),
                       makeRoute("fragile", request_kind::Streaming, false)};
    for (dispatch::route &each : settings.routes) {
        if (each.kind != request_kind::Streaming)
            continue;
        each.longestPause = longestPause;
        each.objective = streamObjective;
    }
    settings.upstreams = std::move(upstreams);
    settings.teams = std::move(teams);
    node.write(gateway::collection_id::Operators, "configuration", ++revision, std::move(settings));
}

void gateway_fixture::send(raw_socket &caller, const std::string &path, const std::string &id,
                           const std::string &fields)
{
    caller.send("POST " + path + " HTTP/1.1\r\nHost: a.example\r\nId: " + id + "\r\n" + fields
                + "Content-Length: 4\r\n\r\nbody");
}

std::unique_ptr<raw_socket> gateway_fixture::call(const std::string &path, const std::string &id,
                                                  const std::string &fields)
{
    auto caller = std::make_unique<raw_socket>(callerPort);
    send(*caller, path, id, fields);
    return caller;
}

void gateway_fixture::waitFor(const std::string &what, const std::function<bool()> &condition)
{
    loop.waitFor(what, [&] {
        node.node->purge();
        return condition();
    });
}

bool gateway_fixture::isWaitingForResponse(raw_socket &caller)
{
    loop.runFor(30ms);
    node.node->purge();
    return caller.receive().empty() && !caller.ended();
}

std::string gateway_fixture::responseOf(raw_socket &caller)
{
    waitFor("response", [&] {
        return caller.receive().find("\r\n\r\n") != std::string::npos || caller.ended();
    });
    loop.runFor(20ms);
    node.node->purge();
    return caller.receive();
}

raw_socket gateway_fixture::acceptAt(listening_socket &engine)
{
    waitFor("connection at the engine", [&] { return engine.pending(); });
    return engine.accept();
}

std::string gateway_fixture::requestAt(raw_socket &engine)
{
    waitFor("request at the engine", [&] { return engine.receive().ends_with("body"); });
    return engine.receive();
}

void gateway_fixture::sendByteByByte(raw_socket &engine, std::string_view bytes)
{
    for (; !bytes.empty(); bytes.remove_prefix(1)) {
        engine.send(bytes.substr(0, 1));
        ACE_Time_Value maxWait(std::chrono::milliseconds(1));
        loop.reactor().handle_events(maxWait);
    }
}

} // namespace comfreypass::tests
