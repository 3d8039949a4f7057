#include "gateway/gateway_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>

using namespace comfreypass;
using namespace comfreypass::tests;
using namespace std::chrono_literals;

namespace {

/** Returns how many bytes the socket buffers of a connection accept if its peer does not read. */
std::size_t socketBufferBytes()
{
    listening_socket listener;
    const raw_socket caller(listener.port());
    raw_socket accepted = listener.accept();
    const std::string block(262'144, 'a');
    std::size_t total = 0;
    while (const std::size_t sent = accepted.send(block))
        total += sent;
    return total;
}

} // namespace

class leaving_node_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(leaving_node_test);
    CPPUNIT_TEST(nodeSendsBufferedOutputBeforeItEnds);
    CPPUNIT_TEST(runningRequestIsAnsweredAtTheEndOfTheGracePeriod);
    CPPUNIT_TEST(queuedRequestIsRefusedAtTheEndOfTheGracePeriod);
    CPPUNIT_TEST(interruptedStreamDoesNotLookComplete);
    CPPUNIT_TEST(requestThatCannotEndInTimeIsRefused);
    CPPUNIT_TEST(requestThatUsuallyEndsInTimeIsPassedOn);
    CPPUNIT_TEST(queuedRequestIsNotPassedOnTooLate);
    CPPUNIT_TEST(requestsAreRefusedAfterAShortGracePeriod);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against cutting a response that a slow caller has not read when the process ends.
    void nodeSendsBufferedOutputBeforeItEnds()
    {
        const std::string body(250'000, 'a');
        // Less than the limit at which the node gives up a caller.
        constexpr std::size_t bufferedByNode = 2'500'000;
        const std::size_t responses = (socketBufferBytes() + bufferedByNode) / body.size();
        listening_socket &listener = m_gateway.addEngine("e1");
        m_gateway.configure(1);
        raw_socket caller(m_gateway.callerPort);
        for (std::size_t i = 0; i < responses; ++i)
            gateway_fixture::send(caller, "/once/", "1");
        raw_socket engine = m_gateway.acceptAt(listener);
        std::size_t received = 0;
        for (std::size_t i = 0; i < responses; ++i) {
            m_gateway.waitFor("request", [&] {
                return engine.receive().size() > received && engine.receive().ends_with("body");
            });
            received = engine.receive().size();
            engine.send("HTTP/1.1 200 OK\r\nId: 1\r\nSigned: s\r\nContent-Length: "
                        + std::to_string(body.size()) + "\r\n\r\n" + body);
        }
        m_gateway.loop.runFor(100ms);

        m_gateway.node.node->leave();
        m_gateway.loop.runFor(2s);
        caller.receive(body.size());
        m_gateway.loop.runFor(2'500ms);
        CPPUNIT_ASSERT(!m_gateway.node.node->hasLeft());
        const std::size_t expected = responses * body.size();
        m_gateway.waitFor("responses",
                          [&] { return caller.receive().size() > expected || caller.ended(); });
        CPPUNIT_ASSERT(caller.receive().size() > expected);
        CPPUNIT_ASSERT(caller.receive().ends_with("\r\n\r\n" + body));
        m_gateway.waitFor("end", [&] { return m_gateway.node.node->hasLeft(); });
    }

    // Guards against closing a connection without a response when the process ends.
    void runningRequestIsAnsweredAtTheEndOfTheGracePeriod()
    {
        gateway_fixture gateway(1s);
        listening_socket &listener = gateway.addEngine("e1");
        gateway.configure(1);
        const auto caller = gateway.call("/once/", "1");
        raw_socket engine = gateway.acceptAt(listener);
        gateway.requestAt(engine);
        gateway.node.node->leave();
        gateway.waitFor("end", [&] { return gateway.node.node->hasLeft(); });
        CPPUNIT_ASSERT(caller->receive().starts_with("HTTP/1.1 502 "));
    }

    // Guards against dropping a request that has not run, which its caller may not repeat.
    void queuedRequestIsRefusedAtTheEndOfTheGracePeriod()
    {
        gateway_fixture gateway(1s);
        listening_socket &listener = gateway.addEngine("e1", 1);
        gateway.configure(1);
        const auto running = gateway.call("/once/", "1");
        raw_socket engine = gateway.acceptAt(listener);
        gateway.requestAt(engine);
        const auto queued = gateway.call("/once/", "2");
        gateway.loop.runFor(50ms);
        gateway.node.node->leave();
        gateway.waitFor("end", [&] { return gateway.node.node->hasLeft(); });
        CPPUNIT_ASSERT(queued->receive().starts_with("HTTP/1.1 503 "));
        CPPUNIT_ASSERT(!listener.pending());
    }

    // Guards against a partial stream that its caller takes for a whole one.
    void interruptedStreamDoesNotLookComplete()
    {
        gateway_fixture gateway(1s);
        listening_socket &listener = gateway.addEngine("e1");
        gateway.configure(1);
        const auto caller = gateway.call("/stream/", "1");
        raw_socket engine = gateway.acceptAt(listener);
        gateway.requestAt(engine);
        engine.send("HTTP/1.1 200 OK\r\nId: 1\r\nSigned: s\r\nContent-Type: text/event-stream\r\n"
                    "Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n");
        gateway.waitFor("event",
                        [&] { return caller->receive().find("data: a") != std::string::npos; });
        gateway.node.node->leave();
        gateway.waitFor("end", [&] { return gateway.node.node->hasLeft(); });
        caller->receive();
        CPPUNIT_ASSERT(caller->ended());
        CPPUNIT_ASSERT(!caller->receive().ends_with("0\r\n\r\n"));
    }

    // Guards against starting a request that may run only once and is cut at the end.
    void requestThatCannotEndInTimeIsRefused()
    {
        gateway_fixture gateway(3s);
        listening_socket &listener = gateway.addEngine("e1");
        gateway.configure(1);
        gateway.node.node->leave();
        const auto caller = gateway.call("/fragile/", "1");
        CPPUNIT_ASSERT(gateway.responseOf(*caller).starts_with("HTTP/1.1 503 "));
        CPPUNIT_ASSERT(!listener.pending());
    }

    // Guards against refusing a short request only because its timeout is long.
    void requestThatUsuallyEndsInTimeIsPassedOn()
    {
        gateway_fixture gateway(3s);
        listening_socket &listener = gateway.addEngine("e1");
        gateway.configure(1);
        const auto before = gateway.call("/once/", "1");
        raw_socket engine = gateway.acceptAt(listener);
        answerOnce(gateway, engine, *before, "1");
        gateway.node.node->leave();
        const auto late = gateway.call("/once/", "2");
        raw_socket second = gateway.acceptAt(listener);
        answerOnce(gateway, second, *late, "2");
        CPPUNIT_ASSERT(late->receive().starts_with("HTTP/1.1 200 "));
    }

    // Guards against a request that waits in the queue, starts at the end and is cut.
    void queuedRequestIsNotPassedOnTooLate()
    {
        gateway_fixture gateway(3s);
        listening_socket &listener = gateway.addEngine("e1", 1);
        gateway.configure(1);
        const auto before = gateway.call("/once/", "1");
        raw_socket engine = gateway.acceptAt(listener);
        gateway.requestAt(engine);
        gateway.loop.runFor(800ms);
        answerOnce(gateway, engine, *before, "1");
        const auto running = gateway.call("/once/", "2");
        raw_socket second = gateway.acceptAt(listener);
        gateway.requestAt(second);
        gateway.node.node->leave();
        gateway.loop.runFor(1'200ms);
        const auto queued = gateway.call("/once/", "3");
        gateway.loop.runFor(800ms);
        answerOnce(gateway, second, *running, "2");
        CPPUNIT_ASSERT(gateway.responseOf(*queued).starts_with("HTTP/1.1 503 "));
        CPPUNIT_ASSERT(!listener.pending());
    }

    // Guards against accepting requests for a fixed time that is longer than the grace period.
    void requestsAreRefusedAfterAShortGracePeriod()
    {
        gateway_fixture gateway(1s);
        listening_socket &listener = gateway.addEngine("e1");
        gateway.configure(1);
        const auto before = gateway.call("/once/", "1");
        raw_socket engine = gateway.acceptAt(listener);
        answerOnce(gateway, engine, *before, "1");
        gateway.node.node->leave();
        gateway.loop.runFor(950ms);
        const auto late = gateway.call("/once/", "2");
        CPPUNIT_ASSERT(gateway.responseOf(*late).starts_with("HTTP/1.1 503 "));
        CPPUNIT_ASSERT(!listener.pending());
    }

private:
    /** Completes a request; the node cannot use the engine's connection again. */
    static void answerOnce(gateway_fixture &gateway, raw_socket &engine, raw_socket &caller,
                           const std::string &id)
    {
        gateway.requestAt(engine);
        engine.send("HTTP/1.1 200 OK\r\nId: " + id
                    + "\r\nSigned: s\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok");
        gateway.waitFor("response", [&] { return caller.receive().ends_with("ok"); });
    }

    gateway_fixture m_gateway;
};

CPPUNIT_TEST_SUITE_REGISTRATION(leaving_node_test);
