#include "http1/deferred_deleter.h"
#include "http1/listener.h"
#include "http1/server_connection.h"
#include "support/loopback.h"
#include "support/raw_socket.h"
#include "support/uncertain_framings.h"
#include "transport/clock.h"

#include <arpa/inet.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

using namespace comfreypass;
using namespace comfreypass::http1;
using namespace std::chrono_literals;

namespace {

constexpr endpoint anyPort{INADDR_LOOPBACK, 0};

/** Accepts connections and records their requests. */
class recording_server : public server_events
{
public:
    explicit recording_server(ACE_Reactor &reactor)
        : m_reactor(reactor),
          m_listener(reactor, [this](socket_handle socket) { accept(std::move(socket)); })
    {
        m_port = m_listener.listen(anyPort).value();
    }

    std::uint16_t port() const { return m_port; }

    void onRequest(server_connection &connection, message_head head, std::string body) override
    {
        heads.push_back(std::move(head));
        bodies.push_back(std::move(body));
        current = &connection;
        if (respondsImmediately)
            connection.respond(200, {}, heads.back().target);
    }

    void onCallerDisconnected(server_connection & /*connection*/) override { ++disconnects; }

    void onOutputSent(server_connection & /*connection*/) override { ++drained; }

    void onClosed(server_connection &connection) override
    {
        ++closed;
        if (current == &connection)
            current = nullptr;
    }

    server_limits limits;
    memory_budget memory{67'108'864};
    std::vector<message_head> heads;
    std::vector<std::string> bodies;
    std::vector<std::shared_ptr<server_connection>> connections;
    server_connection *current = nullptr;
    bool respondsImmediately = false;
    int disconnects = 0;
    int drained = 0;
    int closed = 0;

private:
    void accept(socket_handle socket)
    {
        connections.push_back(std::make_shared<server_connection>(
            m_reactor, std::move(socket), limits, memory, INADDR_LOOPBACK,
            [] { return transport::monotonicNow(); }, *this));
    }

    ACE_Reactor &m_reactor;
    listener m_listener;
    std::uint16_t m_port = 0;
};

} // namespace

class server_connection_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(server_connection_test);
    CPPUNIT_TEST(pipelinedResponsesKeepRequestOrder);
    CPPUNIT_TEST(truncatedRequestIsNotDelivered);
    CPPUNIT_TEST(disconnectIsDetectedWhileRequestIsPending);
    CPPUNIT_TEST(abortedStreamHasNoFinalChunk);
    CPPUNIT_TEST(badRequestsAreRejectedAndConnectionClosed);
    CPPUNIT_TEST(requestWithoutACertainEndIsNotDelivered);
    CPPUNIT_TEST(requestAfterAChunkedOneIsDelivered);
    CPPUNIT_TEST(responseToHeadHasNoBody);
    CPPUNIT_TEST(callerWithoutChunksGetsBareStream);
    CPPUNIT_TEST(abortedBareStreamIsReset);
    CPPUNIT_TEST(closeAfterResponseSendsConnectionClose);
    CPPUNIT_TEST(requestAfterAnUnannouncedCloseIsAnswered);
    CPPUNIT_TEST(timeoutsDoNotCutAResponseThatIsBeingSent);
    CPPUNIT_TEST(timeoutsFollowConfiguredLimits);
    CPPUNIT_TEST(lowerIdleTimeoutAppliesToTheNextIdlePeriod);
    CPPUNIT_TEST(lowerLimitsDoNotRejectARequestThatHasBegun);
    CPPUNIT_TEST(slowHeaderIsRejectedAfterTheReadTimeout);
    CPPUNIT_TEST(endlessChunkMetadataIsRejected);
    CPPUNIT_TEST(sentOutputIsReported);
    CPPUNIT_TEST(bodyWithoutMemoryIsRefusedWithItsHeader);
    CPPUNIT_TEST(memoryOfARefusedBodyIsReleased);
    CPPUNIT_TEST(stalledBodyIsRefusedWhenMemoryIsShort);
    CPPUNIT_TEST(unreadResponseIsAbortedWhenMemoryIsShort);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against responses out of order on a persistent connection.
    void pipelinedResponsesKeepRequestOrder()
    {
        recording_server server(m_loop.reactor());
        server.respondsImmediately = true;
        tests::raw_socket caller(server.port());
        caller.send("GET /1 HTTP/1.1\r\nHost: x\r\n\r\nPOST /2 HTTP/1.1\r\nHost: x\r\n"
                    "Content-Length: 3\r\n\r\nabcGET /3 HTTP/1.1\r\nHost: x\r\n\r\n");
        m_loop.waitFor("three responses", [&] { return caller.receive().ends_with("/3"); });
        const std::string &text = caller.receive();
        CPPUNIT_ASSERT(text.find("/1") < text.find("/2"));
        CPPUNIT_ASSERT_EQUAL(std::string("abc"), server.bodies.at(1));
    }

    // Guards against passing an incomplete request to an engine.
    void truncatedRequestIsNotDelivered()
    {
        recording_server server(m_loop.reactor());
        tests::raw_socket caller(server.port());
        caller.send("POST /1 HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhalf");
        m_loop.waitFor("connection", [&] { return !server.connections.empty(); });
        m_loop.runFor(20ms);
        caller.close();
        m_loop.waitFor("end", [&] { return server.closed == 1; });
        CPPUNIT_ASSERT(server.heads.empty());
        CPPUNIT_ASSERT_EQUAL(0, server.disconnects);
    }

    // Guards against engines that keep running a request whose caller has disconnected.
    void disconnectIsDetectedWhileRequestIsPending()
    {
        recording_server server(m_loop.reactor());
        tests::raw_socket caller(server.port());
        caller.send("GET /1 HTTP/1.1\r\nHost: x\r\n\r\n");
        m_loop.waitFor("request", [&] { return server.current != nullptr; });
        caller.close();
        m_loop.waitFor("disconnect", [&] { return server.disconnects == 1; });
        CPPUNIT_ASSERT_EQUAL(1, server.closed);
    }

    // Guards against an aborted stream that a caller takes for a complete response.
    void abortedStreamHasNoFinalChunk()
    {
        recording_server server(m_loop.reactor());
        tests::raw_socket caller(server.port());
        caller.send("GET /1 HTTP/1.1\r\nHost: x\r\n\r\n");
        m_loop.waitFor("request", [&] { return server.current != nullptr; });
        server.current->beginStream(200, {{"Content-Type", "text/event-stream"}});
        server.current->write("id: 1\n\n");
        m_loop.waitFor("event", [&] { return caller.receive().ends_with("id: 1\n\n\r\n"); });
        server.current->abort();
        m_loop.waitFor("end", [&] {
            caller.receive();
            return caller.ended();
        });
        CPPUNIT_ASSERT(!caller.receive().ends_with("0\r\n\r\n"));
    }

    // Guards against a body after a response to HEAD, which a caller takes for the next response.
    void responseToHeadHasNoBody()
    {
        recording_server server(m_loop.reactor());
        tests::raw_socket caller(server.port());
        caller.send("HEAD /1 HTTP/1.1\r\nHost: x\r\n\r\nGET /2 HTTP/1.1\r\nHost: x\r\n\r\n");
        m_loop.waitFor("request", [&] { return server.heads.size() == 1; });
        server.current->respond(200, {}, "body");
        m_loop.waitFor("second request", [&] { return server.heads.size() == 2; });
        server.current->respond(200, {}, "body");
        m_loop.waitFor("responses", [&] { return caller.receive().ends_with("body"); });
        CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
                                         "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"),
                             caller.receive());
    }

    // Guards against chunk sizes in the body of a caller that does not know chunks.
    void callerWithoutChunksGetsBareStream()
    {
        for (const std::string fields : {"", "Connection: keep-alive\r\n"}) {
            recording_server server(m_loop.reactor());
            tests::raw_socket caller(server.port());
            caller.send("GET /1 HTTP/1.0\r\nHost: x\r\n" + fields + "\r\n");
            m_loop.waitFor("request", [&] { return server.current != nullptr; });
            server.current->beginStream(200, {});
            server.current->write("id: 1\n\n");
            server.current->write("id: 2\n\n");
            server.current->finishStream();
            m_loop.waitFor("end", [&] {
                caller.receive();
                return caller.ended();
            });
            CPPUNIT_ASSERT_EQUAL(
                std::string("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nid: 1\n\nid: 2\n\n"),
                caller.receive());
        }
    }

    // Guards against a clean end of a stream that shows its end only by that of its connection.
    void abortedBareStreamIsReset()
    {
        recording_server server(m_loop.reactor());
        tests::raw_socket caller(server.port());
        caller.send("GET /1 HTTP/1.0\r\nHost: x\r\n\r\n");
        m_loop.waitFor("request", [&] { return server.current != nullptr; });
        server.current->beginStream(200, {});
        server.current->write("id: 1\n\n");
        m_loop.waitFor("event", [&] { return caller.receive().ends_with("id: 1\n\n"); });
        server.current->abort();
        m_loop.waitFor("end", [&] {
            caller.receive();
            return caller.ended();
        });
        CPPUNIT_ASSERT(caller.wasReset());
    }

    // Guards against a bad request that is delivered or leaves the connection usable.
    void badRequestsAreRejectedAndConnectionClosed()
    {
        recording_server server(m_loop.reactor());
        server.limits.bodyBytes = 8;
        const std::vector<std::pair<std::string, std::string>> cases = {
            {"GARBAGE\r\n\r\n", "HTTP/1.1 400 "},
            {"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n", "HTTP/1.1 413 "},
            {"GET / HTTP/1.1\r\nLong: " + std::string(20'000, 'a') + "\r\n\r\n", "HTTP/1.1 431 "},
        };
        for (const auto &each : cases) {
            tests::raw_socket caller(server.port());
            caller.send(each.first);
            m_loop.waitFor(each.second, [&] { return caller.receive().starts_with(each.second); });
            caller.closeSending();
            m_loop.waitFor("end", [&] {
                caller.receive();
                return caller.ended();
            });
        }
        CPPUNIT_ASSERT(server.heads.empty());
    }

    // Guards against a request in the body of another one that is delivered as a request.
    void requestWithoutACertainEndIsNotDelivered()
    {
        recording_server server(m_loop.reactor());
        server.respondsImmediately = true;
        for (const std::string &fields : tests::framingsWithoutACertainEnd) {
            tests::raw_socket caller(server.port());
            caller.send("POST /outer HTTP/1.1\r\nHost: x\r\n" + fields
                        + "\r\n\r\nPOST /hidden HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
            m_loop.waitFor(fields, [&] { return caller.receive().find("\r\n\r\n") < 1'000; });
            caller.closeSending();
            m_loop.waitFor("end", [&] {
                caller.receive();
                return caller.ended();
            });
            CPPUNIT_ASSERT_MESSAGE(fields, caller.receive().starts_with("HTTP/1.1 400 "));
            CPPUNIT_ASSERT_MESSAGE(fields,
                                   caller.receive().find("HTTP/1.1", 1) == std::string::npos);
        }
        CPPUNIT_ASSERT(server.heads.empty());
    }

    // Guards against closing a persistent connection after a request that was sent in chunks.
    void requestAfterAChunkedOneIsDelivered()
    {
        for (const std::string version :
             {"HTTP/1.1\r\n", "HTTP/1.0\r\nConnection: keep-alive\r\n"}) {
            recording_server server(m_loop.reactor());
            server.respondsImmediately = true;
            tests::raw_socket caller(server.port());
            caller.send("POST /1 " + version
                        + "Host: x\r\nTransfer-Encoding: Chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
                          "POST /2 "
                        + version + "Host: x\r\nContent-Length: 3\r\n\r\ndef");
            m_loop.waitFor("two responses", [&] { return caller.receive().ends_with("/2"); });
            CPPUNIT_ASSERT_EQUAL(std::string("abc"), server.bodies.at(0));
            CPPUNIT_ASSERT_EQUAL(std::string("def"), server.bodies.at(1));
        }
    }

    // Guards against callers that send further requests on a connection of a leaving node.
    void closeAfterResponseSendsConnectionClose()
    {
        recording_server server(m_loop.reactor());
        tests::raw_socket caller(server.port());
        caller.send("GET /1 HTTP/1.1\r\nHost: x\r\n\r\n");
        m_loop.waitFor("request", [&] { return server.current != nullptr; });
        server.current->closeAfterResponse();
        server.current->respond(200, {}, "done");
        m_loop.waitFor("end", [&] {
            caller.receive();
            return caller.ended();
        });
        CPPUNIT_ASSERT(caller.receive().find("Connection: close\r\n") != std::string::npos);
        CPPUNIT_ASSERT(caller.receive().ends_with("done"));
    }

    // Guards against discarding a request on a connection whose close was not announced.
    void requestAfterAnUnannouncedCloseIsAnswered()
    {
        recording_server server(m_loop.reactor());
        tests::raw_socket caller(server.port());
        caller.send("GET /1 HTTP/1.1\r\nHost: x\r\n\r\n");
        m_loop.waitFor("request", [&] { return server.current != nullptr; });
        server.current->beginStream(200, {});
        server.current->closeAfterResponse();
        server.current->finishStream();
        m_loop.waitFor("response", [&] { return caller.receive().ends_with("\r\n0\r\n\r\n"); });
        server.respondsImmediately = true;
        caller.send("GET /2 HTTP/1.1\r\nHost: x\r\n\r\n");
        m_loop.waitFor("end", [&] {
            caller.receive();
            return caller.ended();
        });
        const std::string second = caller.receive().substr(caller.receive().rfind("HTTP/1.1 "));
        CPPUNIT_ASSERT(second.find("Connection: close\r\n") != std::string::npos);
        CPPUNIT_ASSERT(second.ends_with("/2"));
    }

    // Guards against truncated responses to callers that read slowly, on idle and closing
    // connections.
    void timeoutsDoNotCutAResponseThatIsBeingSent()
    {
        // Larger than the socket buffers of both sides.
        std::string body;
        body.resize(16'777'216, 'a');
        for (const bool closes : {false, true}) {
            recording_server server(m_loop.reactor());
            tests::raw_socket caller(server.port());
            caller.send("GET /1 HTTP/1.1\r\nHost: x\r\n\r\n");
            m_loop.waitFor("request", [&] { return server.current != nullptr; });
            if (closes)
                server.current->closeAfterResponse();
            server.current->respond(200, {}, body);
            CPPUNIT_ASSERT(server.current->unsentBytes() > 0);
            server.current->checkTimeouts(transport::monotonicNow() + server.limits.idleTimeout
                                          + 1s);
            server.connections.at(0)->closeIfIdle();
            m_loop.waitFor("response", [&] {
                const std::string &received = caller.receive();
                return caller.ended() || received.size() > body.size();
            });
            CPPUNIT_ASSERT(caller.receive().ends_with("\r\n\r\n" + body));
            server.connections.at(0)->checkTimeouts(transport::monotonicNow()
                                                    + server.limits.idleTimeout + 1s);
            CPPUNIT_ASSERT_EQUAL(1, server.closed);
        }
    }

    // Guards against connections that stay open forever, and against closing reusable ones early.
    void timeoutsFollowConfiguredLimits()
    {
        recording_server server(m_loop.reactor());
        tests::raw_socket idle(server.port());
        m_loop.waitFor("connection", [&] { return server.connections.size() == 1; });
        const core::time_point now = transport::monotonicNow();
        server.connections.at(0)->checkTimeouts(now + server.limits.idleTimeout * 4 / 5);
        CPPUNIT_ASSERT_EQUAL(0, server.closed);
        server.connections.at(0)->checkTimeouts(now + server.limits.idleTimeout + 1s);
        CPPUNIT_ASSERT_EQUAL(1, server.closed);

        tests::raw_socket slow(server.port());
        m_loop.waitFor("connection", [&] { return server.connections.size() == 2; });
        slow.send("GET /slow HTTP/1.1\r\n");
        m_loop.waitFor("bytes", [&] { return !server.connections.at(1)->idle(); });
        server.connections.at(1)->checkTimeouts(transport::monotonicNow()
                                                + server.limits.readTimeout + 1s);
        m_loop.waitFor("rejection", [&] { return slow.receive().starts_with("HTTP/1.1 408 "); });
    }

    // Guards against closing a connection under a caller that still knows the longer timeout.
    void lowerIdleTimeoutAppliesToTheNextIdlePeriod()
    {
        recording_server server(m_loop.reactor());
        server.respondsImmediately = true;
        tests::raw_socket caller(server.port());
        caller.send("GET /1 HTTP/1.1\r\nHost: x\r\n\r\n");
        m_loop.waitFor("response", [&] { return caller.receive().ends_with("/1"); });
        const core::duration before = server.limits.idleTimeout;
        server.limits.idleTimeout = 1s;
        server.connections.at(0)->checkTimeouts(transport::monotonicNow() + before * 4 / 5);
        CPPUNIT_ASSERT_EQUAL(0, server.closed);
        caller.send("GET /2 HTTP/1.1\r\nHost: x\r\n\r\n");
        m_loop.waitFor("response", [&] { return caller.receive().ends_with("/2"); });
        server.connections.at(0)->checkTimeouts(transport::monotonicNow() + 2s);
        CPPUNIT_ASSERT_EQUAL(1, server.closed);
    }

    // Guards against rejecting a request by limits that were lowered while it arrived.
    void lowerLimitsDoNotRejectARequestThatHasBegun()
    {
        recording_server server(m_loop.reactor());
        server.respondsImmediately = true;
        tests::raw_socket caller(server.port());
        caller.send("POST /1 HTTP/1.1\r\nHost: x\r\nContent-Length: 8\r\n\r\nhalf");
        m_loop.waitFor("connection", [&] { return server.connections.size() == 1; });
        m_loop.waitFor("bytes", [&] { return !server.connections.at(0)->idle(); });
        server.limits.bodyBytes = 4;
        server.limits.readTimeout = 1s;
        server.connections.at(0)->checkTimeouts(transport::monotonicNow() + 2s);
        caller.send("rest");
        m_loop.waitFor("response", [&] { return !caller.receive().empty(); });
        CPPUNIT_ASSERT(caller.receive().starts_with("HTTP/1.1 200 "));
    }

    // Guards against a caller that keeps a connection by sending single bytes of a header.
    void slowHeaderIsRejectedAfterTheReadTimeout()
    {
        recording_server server(m_loop.reactor());
        server.limits.readTimeout = 200ms;
        tests::raw_socket slow(server.port());
        slow.send("GET /slow HTTP/1.1\r\nName: ");
        m_loop.waitFor("connection", [&] { return server.connections.size() == 1; });
        m_loop.waitFor("rejection", [&] {
            slow.send("a");
            m_loop.runFor(20ms);
            server.connections.at(0)->checkTimeouts(transport::monotonicNow());
            return slow.receive().starts_with("HTTP/1.1 408 ");
        });
        CPPUNIT_ASSERT(server.heads.empty());
    }

    // Guards against unbounded memory for chunk metadata that a caller sends without end.
    void endlessChunkMetadataIsRejected()
    {
        const std::vector<std::pair<std::string, std::string>> cases = {
            {"", "0"},
            {"1;", "name=value;"},
            {"1\r\na\r\n0\r\n", "Name: value\r\n"},
        };
        for (const auto &[start, repeated] : cases) {
            recording_server server(m_loop.reactor());
            tests::raw_socket caller(server.port());
            caller.send("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" + start);
            std::string block;
            while (block.size() < server.limits.headerBytes * 2)
                block += repeated;
            std::size_t sent = 0;
            m_loop.waitFor(repeated, [&] {
                sent += caller.send(block);
                return caller.receive().starts_with("HTTP/1.1 4") || sent > maxEndlessBytes;
            });
            CPPUNIT_ASSERT_MESSAGE(repeated, caller.receive().starts_with("HTTP/1.1 4"));
            CPPUNIT_ASSERT(server.heads.empty());
        }
    }

    // Guards against a paused engine that is never resumed once the caller has read its output.
    void sentOutputIsReported()
    {
        recording_server server(m_loop.reactor());
        tests::raw_socket caller(server.port());
        caller.send("GET /1 HTTP/1.1\r\nHost: x\r\n\r\n");
        m_loop.waitFor("request", [&] { return server.current != nullptr; });
        server.current->beginStream(200, {});
        const std::string block(65'536, 'a');
        while (server.current->unsentBytes() == 0)
            server.current->write(block);
        CPPUNIT_ASSERT_EQUAL(0, server.drained);
        m_loop.waitFor("sent output", [&] {
            caller.receive();
            return server.drained > 0;
        });
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server.current->unsentBytes());
    }

    // Guards against a node that reads bodies for which it has no memory.
    void bodyWithoutMemoryIsRefusedWithItsHeader()
    {
        recording_server server(m_loop.reactor());
        memory_reservation others(server.memory, 1, [] {});
        others.resize(server.memory.largeLimitBytes());
        tests::raw_socket caller(server.port());
        caller.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4000000\r\n\r\n");
        m_loop.waitFor("a refusal", [&] { return caller.receive().starts_with("HTTP/1.1 503 "); });
        CPPUNIT_ASSERT(caller.receive().find("Retry-After: ") != std::string::npos);
        CPPUNIT_ASSERT(caller.receive().find("Connection: close") != std::string::npos);
        server.respondsImmediately = true;
        tests::raw_socket small(server.port());
        small.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc");
        m_loop.waitFor("a response", [&] { return small.receive().starts_with("HTTP/1.1 200 "); });
    }

    // Guards against a body over the limit that is kept until its connection ends.
    void memoryOfARefusedBodyIsReleased()
    {
        recording_server server(m_loop.reactor());
        server.limits.bodyBytes = 200'000;
        tests::raw_socket caller(server.port());
        caller.send("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n493e0\r\n"
                    + std::string(300'000, 'x'));
        m_loop.waitFor("a refusal", [&] { return caller.receive().starts_with("HTTP/1.1 413 "); });
        CPPUNIT_ASSERT(server.memory.usedBytes() < 50'000);
    }

    // Guards against callers that stop short of the end and keep others out.
    void stalledBodyIsRefusedWhenMemoryIsShort()
    {
        recording_server server(m_loop.reactor());
        tests::raw_socket caller(server.port());
        caller.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4000000\r\n\r\nabc");
        m_loop.waitFor("a partial body",
                       [&] { return server.memory.usedBytes() > std::size_t{4'000'000}; });
        memory_reservation others(server.memory, 1, [] {});
        const core::time_point later = transport::monotonicNow() + 1s;
        CPPUNIT_ASSERT(others.tryResize(server.memory.addressLimitBytes(), later));
        memory_reservation next(server.memory, 2, [] {});
        CPPUNIT_ASSERT(next.tryResize(
            server.memory.largeLimitBytes() - server.memory.addressLimitBytes() - 100'000, later));
        m_loop.waitFor("a refusal", [&] { return caller.receive().starts_with("HTTP/1.1 503 "); });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, server.memory.counts().reclaimed);
    }

    // Guards against callers that never read their response and so keep its memory.
    void unreadResponseIsAbortedWhenMemoryIsShort()
    {
        recording_server server(m_loop.reactor());
        tests::raw_socket caller(server.port());
        caller.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
        m_loop.waitFor("a request", [&] { return server.current != nullptr; });
        server.current->beginStream(200, {});
        const std::string part(65'536, 'x');
        while (server.current->unsentBytes() < 1'000'000)
            server.current->write(part);
        CPPUNIT_ASSERT(server.memory.usedBytes() >= std::size_t{1'000'000});
        const core::time_point now = transport::monotonicNow();
        server.current->checkTimeouts(now);
        CPPUNIT_ASSERT(!server.memory.reclaimOldestIncomplete(now + 1s));
        CPPUNIT_ASSERT(server.memory.reclaimOldest(now + 1s));
        CPPUNIT_ASSERT_EQUAL(1, server.disconnects);
        CPPUNIT_ASSERT_EQUAL(1, server.closed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server.memory.usedBytes());
    }

private:
    /** Bytes after which a caller that was not rejected counts as accepted. */
    static constexpr std::size_t maxEndlessBytes = 67'108'864;

    tests::loopback m_loop;
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_connection_test);
