#include "support/loopback.h"
#include "support/raw_socket.h"
#include "support/recorded_call.h"
#include "support/scripted_handler.h"
#include "support/uncertain_framings.h"
#include "transport/http_client.h"
#include "transport/http_server.h"
#include "transport/problem.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>

using namespace comfreypass;
using namespace comfreypass::tests;
using namespace comfreypass::transport;

class http_server_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(http_server_test);
    CPPUNIT_TEST(wholeRequestReachesTheHandler);
    CPPUNIT_TEST(deferredResponseReachesTheCaller);
    CPPUNIT_TEST(streamBufferIsBounded);
    CPPUNIT_TEST(abortedStreamHasNoTerminator);
    CPPUNIT_TEST(disconnectWhileSuspendedIsDetected);
    CPPUNIT_TEST(disconnectBehindUnreadBytesIsDetected);
    CPPUNIT_TEST(disconnectWhileSendingIsDetected);
    CPPUNIT_TEST(halfCloseWhileSendingIsDetected);
    CPPUNIT_TEST(halfClosedCallerReceivesItsResponse);
    CPPUNIT_TEST(exchangeDroppedByHandlerIsClosed);
    CPPUNIT_TEST(throwingHandlerYieldsStatus500);
    CPPUNIT_TEST(oversizedBodyIsRefused);
    CPPUNIT_TEST(bodiesBeyondTheirTotalMemoryAreRefused);
    CPPUNIT_TEST(oversizedHeaderIsRefused);
    CPPUNIT_TEST(malformedRequestIsRefused);
    CPPUNIT_TEST(requestWithoutACertainEndIsRefused);
    CPPUNIT_TEST(slowSenderIsDisconnected);
    CPPUNIT_TEST(connectionsOverTheLimitAreClosed);
    CPPUNIT_TEST(destructionClosesOpenExchanges);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against missing or interchanged parts of a request.
    void wholeRequestReachesTheHandler()
    {
        start([](http_exchange &exchange) {
            const http_request &request = exchange.request();
            const std::string text = request.method + " " + request.path + " "
                                     + request.arguments.at("wait ms") + " "
                                     + std::string(request.headers.find("x-MEMBER").value_or("-"))
                                     + " " + request.body;
            exchange.respond(201, {{"X-Index", "7"}}, text);
        });
        http_call call;
        call.method = "POST";
        call.url = loopback::url(m_server->port(), "/a%20b?wait%20ms=5%266");
        call.headers = {{"X-Member", "acib"}};
        call.body = std::string(300'000, 'b');
        const auto events = run(std::move(call));
        CPPUNIT_ASSERT_EQUAL(201U, events->result().status);
        CPPUNIT_ASSERT_EQUAL("POST /a b 5&6 acib " + std::string(300'000, 'b'), events->body());
        CPPUNIT_ASSERT_EQUAL(std::string("7"), std::string(*events->headers().find("x-index")));
        CPPUNIT_ASSERT(events->result().complete);
    }

    // Guards against a suspended connection that is not resumed by its response.
    void deferredResponseReachesTheCaller()
    {
        start();
        const auto events = begin("/later");
        m_loopback.waitFor("request", [this] { return m_handler.exchanges().size() == 1; });
        exchange().respond(200, {}, "response");
        m_loopback.waitFor("response", [&] { return events->done(); });
        CPPUNIT_ASSERT_EQUAL(std::string("response"), events->body());
    }

    // Guards against an unbounded buffer for a caller that does not read, and against lost bytes.
    void streamBufferIsBounded()
    {
        start();
        raw_socket caller = request("/stream");
        int writable = 0;
        std::optional<bool> closed;
        exchange().setEvents([&] { ++writable; }, [&](bool complete) { closed = complete; });
        exchange().beginStream(200, {});
        const std::string block(8'192, 's');
        std::size_t written = 0;
        bool hasCapacity = true;
        // The kernel buffers some megabytes before the server's own limit takes effect.
        const auto fillBuffer = [&] {
            for (int i = 0; hasCapacity && i < 8; ++i) {
                hasCapacity = exchange().write(block);
                written += block.size();
            }
            return !hasCapacity;
        };
        int idlePolls = 0;
        m_loopback.waitFor("a full buffer that no longer drains", [&] {
            if (writable > 0)
                idlePolls = 0;
            hasCapacity = hasCapacity || std::exchange(writable, 0) > 0;
            return fillBuffer() && ++idlePolls > 20;
        });
        CPPUNIT_ASSERT(written < 67'108'864U);
        CPPUNIT_ASSERT_EQUAL(0, writable);
        m_loopback.waitFor("free capacity after reading", [&] {
            caller.receive();
            return writable > 0;
        });
        exchange().finish();
        m_loopback.waitFor("the end", [&] {
            return caller.receive().ends_with("0\r\n\r\n") && closed.has_value();
        });
        CPPUNIT_ASSERT(*closed);
        const auto payload
            = std::count(caller.receive().begin()
                             + static_cast<std::ptrdiff_t>(caller.receive().find("\r\n\r\n")),
                         caller.receive().end(), 's');
        CPPUNIT_ASSERT_EQUAL(written, static_cast<std::size_t>(payload));
    }

    // Guards against an aborted stream that looks complete to the caller.
    void abortedStreamHasNoTerminator()
    {
        start();
        raw_socket caller = request("/stream");
        std::optional<bool> closed;
        exchange().setEvents({}, [&](bool complete) { closed = complete; });
        exchange().beginStream(200, {});
        exchange().write("partial");
        exchange().abort();
        m_loopback.waitFor("the close", [&] {
            caller.receive();
            return caller.ended() && closed.has_value();
        });
        CPPUNIT_ASSERT(!*closed);
        CPPUNIT_ASSERT(caller.receive().find("partial") != std::string::npos);
        CPPUNIT_ASSERT(!caller.receive().ends_with("0\r\n\r\n"));
    }

    // Guards against engine work that continues for a disconnected caller.
    void disconnectWhileSuspendedIsDetected()
    {
        start();
        raw_socket caller = request("/wait");
        int closed = 0;
        exchange().setEvents({}, [&](bool complete) { closed += complete ? 100 : 1; });
        caller.close();
        m_loopback.waitFor("onClosed", [&] { return closed > 0; });
        m_loopback.runFor(std::chrono::milliseconds(50));
        CPPUNIT_ASSERT_EQUAL(1, closed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_server->openExchanges());
        exchange().respond(200, {}, "too late");
    }

    // Guards against a disconnect check that sees only the unread bytes of a second request.
    void disconnectBehindUnreadBytesIsDetected()
    {
        start();
        raw_socket caller = request("/wait");
        caller.send("GET /second HTTP/1.1\r\nHost: a\r\n\r\n");
        caller.close();
        m_loopback.waitFor("onClosed", [this] { return exchange().closed(); });
    }

    // Guards against missing a disconnect while the send buffer is full, when the connection is not
    // suspended.
    void disconnectWhileSendingIsDetected()
    {
        start();
        raw_socket caller = request("/stream");
        exchange().beginStream(200, {});
        const std::string block(65'536, 's');
        for (int i = 0; i < 200; ++i)
            exchange().write(block);
        m_loopback.runFor(std::chrono::milliseconds(50));
        CPPUNIT_ASSERT(!exchange().closed());
        caller.close();
        m_loopback.waitFor("onClosed", [this] { return exchange().closed(); });
    }

    // Guards against missing a half-close without a reset, which libmicrohttpd does not detect
    // while the send buffer is full.
    void halfCloseWhileSendingIsDetected()
    {
        start();
        raw_socket caller = request("/stream");
        exchange().beginStream(200, {});
        const std::string block(65'536, 's');
        for (int i = 0; i < 200; ++i)
            exchange().write(block);
        m_loopback.runFor(std::chrono::milliseconds(50));
        CPPUNIT_ASSERT(!exchange().closed());
        caller.closeSending();
        m_loopback.waitFor("onClosed", [this] { return exchange().closed(); });
    }

    // Guards against truncating a response because the caller has closed its sending side.
    void halfClosedCallerReceivesItsResponse()
    {
        const std::string body(500'000, 'b');
        start([&](http_exchange &exchange) { exchange.respond(200, {}, body); });
        raw_socket caller(m_server->port());
        caller.send("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        caller.closeSending();
        m_loopback.waitFor("the response", [&] { return caller.receive().ends_with(body); });
    }

    // Guards against a connection that stays open after the handler has released its exchange.
    void exchangeDroppedByHandlerIsClosed()
    {
        start();
        raw_socket caller = request("/dropped");
        m_handler.dropAll();
        m_loopback.waitFor("the close", [&] {
            caller.receive();
            return caller.ended();
        });
    }

    // Guards against an exception that propagates through the C library.
    void throwingHandlerYieldsStatus500()
    {
        start([](http_exchange &) { throw std::runtime_error("test"); });
        CPPUNIT_ASSERT_EQUAL(500U, run(get("/"))->result().status);
    }

    // Guards against unbounded memory use for a body, with and without a declared length.
    void oversizedBodyIsRefused()
    {
        http_server_settings settings;
        settings.bodyBytes = 1'000;
        start({}, settings);
        http_call call = get("/");
        call.method = "POST";
        call.body = std::string(1'001, 'x');
        CPPUNIT_ASSERT_EQUAL(413U, run(call)->result().status);
        call.headers = {{"Transfer-Encoding", "chunked"}};
        CPPUNIT_ASSERT_EQUAL(413U, run(call)->result().status);
        raw_socket caller(m_server->port());
        caller.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999\r\n\r\n");
        m_loopback.waitFor("413", [&] { return caller.receive().starts_with("HTTP/1.1 413"); });
        CPPUNIT_ASSERT(m_handler.exchanges().empty());
    }

    // Guards against unbounded memory use for many bodies of legal size at once.
    void bodiesBeyondTheirTotalMemoryAreRefused()
    {
        http_server_settings settings;
        settings.bodyBytes = 1'000'000;
        settings.totalBodyBytes = 2'000'000;
        start([](http_exchange &each) { each.respond(200, {}, ""); }, settings);
        const std::string head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ";
        std::vector<std::unique_ptr<raw_socket>> stalled;
        for (int i = 0; i < 2; ++i) {
            stalled.push_back(std::make_unique<raw_socket>(m_server->port()));
            stalled.back()->send(head + "900000\r\n\r\n" + std::string(700'000, 'x'));
        }
        m_loopback.waitFor("503", [&] {
            raw_socket caller(m_server->port());
            caller.send(head + "900000\r\n\r\n" + std::string(900'000, 'x'));
            m_loopback.waitFor("response", [&] { return !caller.receive().empty(); });
            return caller.receive().starts_with("HTTP/1.1 503");
        });
        // Small bodies still have room, and the ends of connections free theirs.
        http_call call = get("/");
        call.method = "POST";
        call.body = std::string(10'000, 'x');
        CPPUNIT_ASSERT_EQUAL(200U, run(call)->result().status);
        stalled.clear();
        call.body = std::string(900'000, 'x');
        m_loopback.waitFor("200", [&] { return run(call)->result().status == 200U; });
    }

    // Guards against unbounded memory use for a request header.
    void oversizedHeaderIsRefused()
    {
        start();
        raw_socket caller(m_server->port());
        const std::string head = "GET / HTTP/1.1\r\nHost: a\r\nX-Long: ";
        caller.send(head + std::string(71'680, 'x') + "\r\n\r\n");
        m_loopback.waitFor("431", [&] { return caller.receive().starts_with("HTTP/1.1 431"); });
        CPPUNIT_ASSERT(m_handler.exchanges().empty());
    }

    // Guards against accepting bytes that are not HTTP. libmicrohttpd may detect the end of the
    // stream after an incomplete request only at the idle timeout.
    void malformedRequestIsRefused()
    {
        http_server_settings settings;
        settings.idleSeconds = 1;
        start({}, settings);
        for (const std::string &malformed :
             {std::string(4'096, '\xff'), std::string("\x16\x03\x01\x02\x00\x01\r\n\r\n", 10),
              std::string("GET\r\n\r\n"),
              std::string("POST / HTTP/1.1\r\nHost: a\r\n"
                          "Transfer-Encoding: chunked\r\n\r\nZZ\r\n")}) {
            raw_socket caller(m_server->port());
            caller.send(malformed);
            caller.closeSending();
            m_loopback.waitFor("a rejection", [&] {
                caller.receive();
                return caller.ended();
            });
            CPPUNIT_ASSERT(!caller.receive().starts_with("HTTP/1.1 2"));
        }
        CPPUNIT_ASSERT(m_handler.exchanges().empty());
    }

    // Guards against a request in the body of another one that is passed to the handler.
    void requestWithoutACertainEndIsRefused()
    {
        http_server_settings settings;
        settings.idleSeconds = 1;
        start([](http_exchange &exchange) { exchange.respond(200, {}, ""); }, settings);
        for (const std::string &fields : framingsWithoutACertainEnd) {
            raw_socket caller(m_server->port());
            caller.send("POST /outer HTTP/1.1\r\nHost: a\r\n" + fields
                        + "\r\n\r\nPOST /hidden HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
            caller.closeSending();
            m_loopback.waitFor(fields, [&] {
                caller.receive();
                return caller.ended();
            });
            CPPUNIT_ASSERT_MESSAGE(fields,
                                   caller.receive().find("HTTP/1.1 2") == std::string::npos);
            CPPUNIT_ASSERT_MESSAGE(fields, m_handler.exchanges().empty());
        }
    }

    // Guards against callers that occupy a connection with an incomplete request.
    void slowSenderIsDisconnected()
    {
        http_server_settings settings;
        settings.idleSeconds = 1;
        start({}, settings);
        raw_socket caller(m_server->port());
        caller.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nx");
        m_loopback.waitFor("the close", [&] {
            caller.receive();
            return caller.ended();
        });
    }

    // Guards against memory exhaustion by too many connections.
    void connectionsOverTheLimitAreClosed()
    {
        http_server_settings settings;
        settings.connectionLimitPerAddress = 2;
        start({}, settings);
        raw_socket first = request("/1");
        raw_socket second = request("/2");
        raw_socket third(m_server->port());
        m_loopback.waitFor("the close of the third", [&] {
            third.receive();
            return third.ended();
        });
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_server->openConnections());
    }

    // Guards against events after the server is destroyed, and against the abort in libmicrohttpd
    // when a server stops with suspended connections.
    void destructionClosesOpenExchanges()
    {
        start();
        raw_socket waiting = request("/1");
        raw_socket streaming = request("/2");
        m_handler.exchanges()[1]->beginStream(200, {});
        m_loopback.runFor(std::chrono::milliseconds(20));
        int closed = 0;
        for (const auto &open : m_handler.exchanges())
            open->setEvents({}, [&](bool complete) { closed += complete ? 100 : 1; });
        m_server.reset();
        CPPUNIT_ASSERT_EQUAL(2, closed);
        m_handler.exchanges()[1]->write("too late");
    }

private:
    void start(scripted_handler::script handlerScript = {}, http_server_settings settings = {})
    {
        m_handler.setScript(std::move(handlerScript));
        m_server
            = std::make_unique<http_server>(m_loopback.reactor(), std::move(settings), m_handler);
        CPPUNIT_ASSERT(m_server->listen().has_value());
    }

    http_call get(const std::string &path)
    {
        http_call call;
        call.url = loopback::url(m_server->port(), path);
        return call;
    }

    std::shared_ptr<recorded_call> begin(const std::string &path)
    {
        auto events = std::make_shared<recorded_call>();
        m_client.start(get(path), events);
        return events;
    }

    std::shared_ptr<recorded_call> run(http_call call)
    {
        auto events = std::make_shared<recorded_call>();
        m_client.start(std::move(call), events);
        m_loopback.waitFor("the response", [&] { return events->done(); });
        return events;
    }

    /** Sends a request and waits until the handler has received it. */
    raw_socket request(const std::string &path)
    {
        const std::size_t before = m_handler.exchanges().size();
        raw_socket caller(m_server->port());
        caller.send("GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n");
        m_loopback.waitFor("request", [&] { return m_handler.exchanges().size() == before + 1; });
        return caller;
    }

    http_exchange &exchange() { return *m_handler.exchanges().front(); }

    loopback m_loopback;
    scripted_handler m_handler;
    std::unique_ptr<http_server> m_server;
    http_client m_client{m_loopback.reactor()};
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_server_test);
