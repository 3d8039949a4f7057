#include "http1/client_connection.h"
#include "http1/forwarded_headers.h"
#include "support/listening_socket.h"
#include "support/loopback.h"
#include "support/uncertain_framings.h"

#include <arpa/inet.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>

using namespace comfreypass;
using namespace comfreypass::http1;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

/** Accepts responses whose Id field is "mine" or missing, and skips those of other requests. */
class recording_events : public client_events
{
public:
    void onInterimHead(const message_head & /*head*/) override { ++interimHeads; }

    head_decision onHead(const message_head &head) override
    {
        const auto id = head.headers.find("Id");
        if (id && *id == "rejected")
            return head_decision::Reject;
        if (id && *id != "mine")
            return head_decision::Skip;
        status = head.status;
        return head_decision::Accept;
    }

    void onBody(std::string_view bytes) override { body.append(bytes); }

    void onComplete(bool isReusable) override
    {
        done = true;
        reusable = isReusable;
    }

    void onFailed(exchange_failure reason) override
    {
        done = true;
        failure = reason;
    }

    unsigned interimHeads = 0;
    unsigned status = 0;
    std::string body;
    bool done = false;
    bool reusable = false;
    std::optional<exchange_failure> failure;
};

} // namespace

class client_connection_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(client_connection_test);
    CPPUNIT_TEST(connectionIsReusedAfterCompleteResponse);
    CPPUNIT_TEST(lateResponseToEarlierRequestIsSkipped);
    CPPUNIT_TEST(interimResponsesAreReported);
    CPPUNIT_TEST(rejectedResponseFailsTheExchange);
    CPPUNIT_TEST(bytesAfterCompleteResponseMakeConnectionUnusable);
    CPPUNIT_TEST(interruptedResponsesReportDistinctFailures);
    CPPUNIT_TEST(responseWithoutACertainEndIsMalformed);
    CPPUNIT_TEST(responseBeforeEndOfRequestClosesConnection);
    CPPUNIT_TEST(responseBeforeResetOfUnreadRequestIsRead);
    CPPUNIT_TEST(unframedResponseBeforeResetOfUnreadRequestIsIncomplete);
    CPPUNIT_TEST(unframedResponseBeforeCloseOfUnreadRequestIsIncomplete);
    CPPUNIT_TEST(unframedResponseBeforeEndOfRequestIsIncomplete);
    CPPUNIT_TEST(unframedResponseAfterRequestIsComplete);
    CPPUNIT_TEST(responseToHeadHasNoBody);
    CPPUNIT_TEST(foreignResponseOnConnectionOfHeadFails);
    CPPUNIT_TEST(refusedConnectionReportsConnectFailed);
    CPPUNIT_TEST(requestThatIsGivenUpIsReset);
    CPPUNIT_TEST(requestOfAMalformedResponseIsReset);
    CPPUNIT_TEST(answeredConnectionIsClosedInOrder);
    CPPUNIT_TEST(requestMayOutliveAPlannedStop);
    CPPUNIT_TEST(hopByHopFieldsAreNotForwarded);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a body that ends where only this recipient sees its end, and against a further
    // request on such a connection.
    void responseWithoutACertainEndIsMalformed()
    {
        for (const std::string &fields : tests::framingsWithoutACertainEnd) {
            client_connection connection(m_loop.reactor(), target());
            tests::raw_socket engine = m_listener.accept();
            recording_events events;
            connection.start(request, events);
            engine.send("HTTP/1.1 200 OK\r\nId: mine\r\n" + fields
                        + "\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            m_loop.waitFor(fields, [&] { return events.done; });
            CPPUNIT_ASSERT_MESSAGE(fields, events.failure == exchange_failure::Malformed);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(fields, std::string(), events.body);
            CPPUNIT_ASSERT_MESSAGE(fields, !connection.usable());
        }
    }

    // Guards against opening a new connection for each request.
    void connectionIsReusedAfterCompleteResponse()
    {
        client_connection connection(m_loop.reactor(), target());
        tests::raw_socket engine = m_listener.accept();
        for (int i = 0; i < 2; ++i) {
            recording_events events;
            connection.start(request, events);
            m_loop.waitFor("request", [&] { return !engine.receive().empty(); });
            engine.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            m_loop.waitFor("response", [&] { return events.done; });
            CPPUNIT_ASSERT(events.reusable);
            CPPUNIT_ASSERT_EQUAL(std::string("ok"), events.body);
            CPPUNIT_ASSERT(connection.usable());
        }
    }

    // Guards against a response that is delivered to the caller of another request.
    void lateResponseToEarlierRequestIsSkipped()
    {
        client_connection connection(m_loop.reactor(), target());
        tests::raw_socket engine = m_listener.accept();
        recording_events events;
        connection.start(request, events);
        engine.send("HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nwrong"
                    "HTTP/1.1 201 Created\r\nId: mine\r\nContent-Length: 5\r\n\r\nright");
        m_loop.waitFor("response", [&] { return events.done; });
        CPPUNIT_ASSERT_EQUAL(201U, events.status);
        CPPUNIT_ASSERT_EQUAL(std::string("right"), events.body);
    }

    // Guards against losing the fields of interim responses, or taking one for the final response.
    void interimResponsesAreReported()
    {
        client_connection connection(m_loop.reactor(), target());
        tests::raw_socket engine = m_listener.accept();
        recording_events events;
        connection.start(request, events);
        engine.send("HTTP/1.1 103 Early Hints\r\nId: mine\r\n\r\n"
                    "HTTP/1.1 100 Continue\r\n\r\n"
                    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        m_loop.waitFor("response", [&] { return events.done; });
        CPPUNIT_ASSERT_EQUAL(2U, events.interimHeads);
        CPPUNIT_ASSERT_EQUAL(200U, events.status);
        CPPUNIT_ASSERT_EQUAL(std::string("ok"), events.body);
    }

    // Guards against body bytes of a response that cannot be attributed, and against its
    // connection.
    void rejectedResponseFailsTheExchange()
    {
        for (const std::string end : {"Content-Length: 5\r\n\r\nwrong", "\r\nwrong"}) {
            client_connection connection(m_loop.reactor(), target());
            tests::raw_socket engine = m_listener.accept();
            recording_events events;
            connection.start(request, events);
            engine.send("HTTP/1.1 200 OK\r\nId: rejected\r\n" + end);
            m_loop.waitFor("failure", [&] { return events.done; });
            CPPUNIT_ASSERT(events.failure == exchange_failure::Unattributed);
            CPPUNIT_ASSERT_EQUAL(std::string(), events.body);
            CPPUNIT_ASSERT(!connection.usable());
        }
    }

    // Guards against a surplus response or garbage that the next request would read as its own.
    void bytesAfterCompleteResponseMakeConnectionUnusable()
    {
        {
            client_connection connection(m_loop.reactor(), target());
            tests::raw_socket engine = m_listener.accept();
            recording_events events;
            connection.start(request, events);
            engine.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n");
            m_loop.waitFor("response", [&] { return events.done; });
            CPPUNIT_ASSERT(!events.reusable);
            CPPUNIT_ASSERT(!connection.usable());
        }
        client_connection connection(m_loop.reactor(), target());
        tests::raw_socket engine = m_listener.accept();
        recording_events events;
        connection.start(request, events);
        engine.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        m_loop.waitFor("response", [&] { return events.done; });
        engine.send("late garbage");
        m_loop.waitFor("unusable connection", [&] { return !connection.usable(); });
    }

    // Guards against a truncated response reported as complete, or with the wrong failure.
    void interruptedResponsesReportDistinctFailures()
    {
        const std::vector<std::pair<std::string, exchange_failure>> cases = {
            {"", exchange_failure::NoResponse},
            {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", exchange_failure::Incomplete},
            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
             exchange_failure::Incomplete},
            {"no HTTP at all\r\n\r\n", exchange_failure::Malformed},
        };
        for (const auto &[response, expected] : cases) {
            client_connection connection(m_loop.reactor(), target());
            tests::raw_socket engine = m_listener.accept();
            recording_events events;
            connection.start(request, events);
            m_loop.waitFor("request", [&] { return !engine.receive().empty(); });
            engine.send(response);
            engine.close();
            m_loop.waitFor("end", [&] { return events.done; });
            CPPUNIT_ASSERT(events.failure == expected);
        }
    }

    // Guards against reusing a connection on which part of a long request body is still unsent.
    void responseBeforeEndOfRequestClosesConnection()
    {
        client_connection connection(m_loop.reactor(), target());
        tests::raw_socket engine = m_listener.accept();
        recording_events events;
        const std::string body(8'388'608, 'a');
        connection.start("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: "
                             + std::to_string(body.size()) + "\r\n\r\n" + body,
                         events);
        m_loop.waitFor("connection", [&] { return connection.connected(); });
        engine.send("HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n");
        m_loop.waitFor("response", [&] { return events.done; });
        CPPUNIT_ASSERT_EQUAL(413U, events.status);
        CPPUNIT_ASSERT(!events.reusable);
    }

    // Guards against losing a response whose engine closes without reading a long request.
    void responseBeforeResetOfUnreadRequestIsRead()
    {
        recording_events events;
        respondToUnreadRequest(events, "HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno",
                               false);
        CPPUNIT_ASSERT(!events.failure);
        CPPUNIT_ASSERT_EQUAL(413U, events.status);
        CPPUNIT_ASSERT_EQUAL(std::string("no"), events.body);
        CPPUNIT_ASSERT(!events.reusable);
    }

    // Guards against a reset that looks like an orderly close once a send has reported it.
    void unframedResponseBeforeResetOfUnreadRequestIsIncomplete()
    {
        recording_events events;
        respondToUnreadRequest(events, "HTTP/1.1 200 OK\r\n\r\npart", false);
        CPPUNIT_ASSERT(events.failure == exchange_failure::Incomplete);
    }

    // Guards against a part of a response whose engine ends the connection before it resets it.
    void unframedResponseBeforeCloseOfUnreadRequestIsIncomplete()
    {
        recording_events events;
        respondToUnreadRequest(events, "HTTP/1.1 200 OK\r\n\r\npart", true);
        CPPUNIT_ASSERT(events.failure == exchange_failure::Incomplete);
        CPPUNIT_ASSERT(!events.reusable);
    }

    // Guards against a part of a response whose engine ends the connection without a reset that is
    // seen, also if the rest of the request is in the kernel.
    void unframedResponseBeforeEndOfRequestIsIncomplete()
    {
        constexpr int receiveBytes = 16'384;
        m_listener.limitReceiveBuffer(receiveBytes);
        for (const std::size_t bodyBytes : {200'000U, 8'388'608U}) {
            client_connection connection(m_loop.reactor(), target());
            tests::raw_socket engine = m_listener.accept();
            recording_events events;
            connection.start("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: "
                                 + std::to_string(bodyBytes) + "\r\n\r\n"
                                 + std::string(bodyBytes, 'a'),
                             events);
            m_loop.waitFor("request", [&] { return !engine.receive(1).empty(); });
            engine.send("HTTP/1.1 200 OK\r\n\r\npart");
            engine.closeSending();
            m_loop.waitFor("end", [&] { return events.done; });
            CPPUNIT_ASSERT(events.failure == exchange_failure::Incomplete);
        }
    }

    // Guards against a failure for a whole response to a request that the engine has read.
    void unframedResponseAfterRequestIsComplete()
    {
        const std::string upload = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 8388608\r\n\r\n"
                                   + std::string(8'388'608, 'a');
        for (const bool endsSending : {false, true}) {
            client_connection connection(m_loop.reactor(), target());
            tests::raw_socket engine = m_listener.accept();
            recording_events events;
            connection.start(upload, events);
            m_loop.waitFor("request", [&] { return engine.receive() == upload; });
            engine.send("HTTP/1.1 200 OK\r\n\r\nwhole");
            if (endsSending)
                engine.closeSending();
            else
                engine.close();
            m_loop.waitFor("end", [&] { return events.done; });
            CPPUNIT_ASSERT(!events.failure);
            CPPUNIT_ASSERT_EQUAL(std::string("whole"), events.body);
            CPPUNIT_ASSERT(!events.reusable);
        }
    }

    // Guards against waiting for the body that a response to HEAD only describes.
    void responseToHeadHasNoBody()
    {
        for (const std::string framing :
             {"Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n", ""}) {
            client_connection connection(m_loop.reactor(), target());
            tests::raw_socket engine = m_listener.accept();
            for (int i = 0; i < 2; ++i) {
                recording_events events;
                connection.start("HEAD / HTTP/1.1\r\nHost: x\r\n\r\n", events);
                engine.send("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n" + framing
                            + "\r\n");
                m_loop.waitFor("response", [&] { return events.done; });
                CPPUNIT_ASSERT(!events.failure);
                CPPUNIT_ASSERT(events.reusable && connection.usable());
            }
        }
    }

    // Guards against reading the body of a foreign response as the response to HEAD.
    void foreignResponseOnConnectionOfHeadFails()
    {
        client_connection connection(m_loop.reactor(), target());
        tests::raw_socket engine = m_listener.accept();
        recording_events events;
        connection.start("HEAD / HTTP/1.1\r\nHost: x\r\n\r\n", events);
        engine.send("HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 38\r\n\r\n"
                    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        m_loop.waitFor("failure", [&] { return events.done; });
        CPPUNIT_ASSERT(events.failure == exchange_failure::Unattributed);
    }

    // Guards against "may have run" for a request that was never sent.
    void refusedConnectionReportsConnectFailed()
    {
        std::uint16_t port = 0;
        {
            const tests::listening_socket closed;
            port = closed.port();
        }
        client_connection connection(m_loop.reactor(), {INADDR_LOOPBACK, port});
        recording_events events;
        connection.start(request, events);
        m_loop.waitFor("failure", [&] { return events.done; });
        CPPUNIT_ASSERT(events.failure == exchange_failure::ConnectFailed);
    }

    // Guards against a request that reaches its engine after a partition although it was given up.
    void requestThatIsGivenUpIsReset()
    {
        client_connection connection(m_loop.reactor(), target());
        tests::raw_socket engine = m_listener.accept();
        recording_events events;
        connection.start(request, events);
        m_loop.waitFor("request", [&] { return !engine.receive().empty(); });
        connection.cancel();
        m_loop.waitFor("end", [&] { return engine.receive() == request && engine.ended(); });
        CPPUNIT_ASSERT(engine.wasReset());
    }

    // Guards against an engine that goes on with a request whose response is of no use.
    void requestOfAMalformedResponseIsReset()
    {
        client_connection connection(m_loop.reactor(), target());
        tests::raw_socket engine = m_listener.accept();
        recording_events events;
        connection.start(request, events);
        m_loop.waitFor("request", [&] { return !engine.receive().empty(); });
        engine.send("no HTTP at all\r\n\r\n");
        m_loop.waitFor("failure", [&] { return events.done; });
        m_loop.waitFor("end", [&] { return engine.receive() == request && engine.ended(); });
        CPPUNIT_ASSERT(engine.wasReset());
    }

    // Guards against resets that an engine counts as failures of connections without a request.
    void answeredConnectionIsClosedInOrder()
    {
        client_connection connection(m_loop.reactor(), target());
        tests::raw_socket engine = m_listener.accept();
        recording_events events;
        connection.start(request, events);
        m_loop.waitFor("request", [&] { return !engine.receive().empty(); });
        engine.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        m_loop.waitFor("response", [&] { return events.done; });
        connection.cancel();
        m_loop.waitFor("end", [&] { return engine.receive() == request && engine.ended(); });
        CPPUNIT_ASSERT(!engine.wasReset());
    }

    // Guards against the loss of a whole request that must not be repeated, and against the first
    // part of one that cannot run.
    void requestMayOutliveAPlannedStop()
    {
        for (const bool isWhole : {true, false}) {
            client_connection connection(m_loop.reactor(), target());
            tests::raw_socket engine = m_listener.accept();
            recording_events events;
            std::string sent(request);
            if (!isWhole)
                sent += std::string(8'388'608, 'a');
            connection.start(sent, events);
            m_loop.waitFor("connection", [&] { return connection.connected(); });
            connection.closeAfterRequest();
            m_loop.waitFor("end", [&] {
                engine.receive();
                return engine.ended();
            });
            CPPUNIT_ASSERT_EQUAL(!isWhole, engine.wasReset());
            CPPUNIT_ASSERT(!isWhole || engine.receive() == request);
        }
    }

    // Guards against forwarding the hop-by-hop fields of one connection to another.
    void hopByHopFieldsAreNotForwarded()
    {
        const transport::http_headers headers = forwardedHeaders({{"Connection", "close, X-Hop"},
                                                                  {"X-Hop", "1"},
                                                                  {"Keep-Alive", "timeout=5"},
                                                                  {"transfer-encoding", "chunked"},
                                                                  {"Content-Length", "3"},
                                                                  {"Content-Type", "text/plain"},
                                                                  {"Set-Cookie", "a"},
                                                                  {"Set-Cookie", "b"}});
        std::string names;
        for (const auto &[name, value] : headers)
            names += name + "=" + value + " ";
        CPPUNIT_ASSERT_EQUAL(std::string("Content-Type=text/plain Set-Cookie=a Set-Cookie=b "),
                             names);
    }

private:
    /**
     * Responds to a request that the engine reads no byte of, and closes: after the end of its
     * sending side, or at once with a reset. The response and the end arrive before the connection
     * reads or sends anything.
     */
    void respondToUnreadRequest(recording_events &events, const std::string &response,
                                bool endsSending)
    {
        client_connection connection(m_loop.reactor(), target());
        tests::raw_socket engine = m_listener.accept();
        const std::string body(8'388'608, 'a');
        connection.start("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: "
                             + std::to_string(body.size()) + "\r\n\r\n" + body,
                         events);
        m_loop.waitFor("connection", [&] { return connection.connected(); });
        m_loop.runFor(20ms);
        engine.send(response);
        if (endsSending)
            engine.closeSending();
        engine.close();
        m_loop.waitFor("end", [&] { return events.done; });
    }

    endpoint target() const { return {INADDR_LOOPBACK, m_listener.port()}; }

    tests::loopback m_loop;
    tests::listening_socket m_listener;
};

CPPUNIT_TEST_SUITE_REGISTRATION(client_connection_test);
