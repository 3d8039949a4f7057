#include "gateway/gateway_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>
#include <thread>

using namespace comfreypass;
using namespace comfreypass::tests;
using namespace std::chrono_literals;

namespace {

std::string response(const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nId: 1\r\nSigned: s\r\nContent-Length: " + std::to_string(body.size())
           + "\r\n\r\n" + body;
}

} // namespace

/** A node whose event loop is blocked while bytes arrive: it was busy, paused or frozen. */
class blocked_node_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(blocked_node_test);
    CPPUNIT_TEST(engineThatAnsweredIsNotAbandonedAsStalled);
    CPPUNIT_TEST(responseWithinTheTimeoutIsForwarded);
    CPPUNIT_TEST(establishedConnectionDoesNotTimeOut);
    CPPUNIT_TEST(idleConnectionWithRequestIsNotClosed);
    CPPUNIT_TEST(requestThatHasArrivedIsNotRejectedAsSlow);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against running a request again whose response has arrived.
    void engineThatAnsweredIsNotAbandonedAsStalled()
    {
        listening_socket &first = m_gateway.addEngine("e1");
        listening_socket &second = m_gateway.addEngine("e2");
        m_gateway.configure(1);
        const auto caller = m_gateway.call("/plain/", "1");
        m_gateway.waitFor("connection", [&] { return first.pending() || second.pending(); });
        const bool atFirst = first.pending();
        raw_socket engine = m_gateway.acceptAt(atFirst ? first : second);
        m_gateway.requestAt(engine);
        engine.send(response("fine"));
        block(700ms);
        CPPUNIT_ASSERT(m_gateway.responseOf(*caller).ends_with("fine"));
        CPPUNIT_ASSERT(!(atFirst ? second : first).pending());
    }

    // Guards against 504 for a request whose response has arrived in time.
    void responseWithinTheTimeoutIsForwarded()
    {
        listening_socket &listener = m_gateway.addEngine("e1");
        m_gateway.configure(1);
        const auto caller = m_gateway.call("/once/", "1", "Wait-Ms: 600\r\n");
        raw_socket engine = m_gateway.acceptAt(listener);
        m_gateway.requestAt(engine);
        engine.send(response("fine"));
        block(900ms);
        CPPUNIT_ASSERT(m_gateway.responseOf(*caller).ends_with("fine"));
    }

    // Guards against giving up a connection that was established in time.
    void establishedConnectionDoesNotTimeOut()
    {
        listening_socket &listener = m_gateway.addEngine("e1");
        m_gateway.configure(1);
        const auto caller = m_gateway.call("/once/", "1");
        m_gateway.waitFor("connection", [&] { return listener.pending(); });
        block(500ms);
        raw_socket engine = m_gateway.acceptAt(listener);
        m_gateway.requestAt(engine);
        engine.send(response("fine"));
        CPPUNIT_ASSERT(m_gateway.responseOf(*caller).ends_with("fine"));
    }

    // Guards against closing a connection whose next request has arrived but is not read yet.
    void idleConnectionWithRequestIsNotClosed()
    {
        m_gateway.limits.idleTimeout = 500ms;
        listening_socket &listener = m_gateway.addEngine("e1");
        m_gateway.configure(1);
        const auto caller = m_gateway.call("/once/", "1");
        raw_socket engine = m_gateway.acceptAt(listener);
        m_gateway.requestAt(engine);
        engine.send(response("first"));
        CPPUNIT_ASSERT(m_gateway.responseOf(*caller).ends_with("first"));
        gateway_fixture::send(*caller, "/once/", "1");
        block(900ms);
        m_gateway.waitFor("second request",
                          [&] { return engine.receive().ends_with("body") || caller->ended(); });
        engine.send(response("second"));
        m_gateway.waitFor("second response",
                          [&] { return caller->receive().ends_with("second") || caller->ended(); });
        CPPUNIT_ASSERT(caller->receive().ends_with("second"));
    }

    // Guards against 408 for a request whose rest has arrived but is not read yet.
    void requestThatHasArrivedIsNotRejectedAsSlow()
    {
        m_gateway.limits.headerTimeout = 500ms;
        listening_socket &listener = m_gateway.addEngine("e1");
        m_gateway.configure(1);
        raw_socket caller(m_gateway.callerPort);
        caller.send("POST /once/ HTTP/1.1\r\nHost: a.example\r\nId: 1\r\nContent-");
        m_gateway.loop.runFor(50ms);
        caller.send("Length: 4\r\n\r\nbody");
        block(900ms);
        m_gateway.waitFor("request or rejection",
                          [&] { return listener.pending() || !caller.receive().empty(); });
        CPPUNIT_ASSERT(caller.receive().empty());
        raw_socket engine = m_gateway.acceptAt(listener);
        m_gateway.requestAt(engine);
    }

private:
    /** The node's event loop does not run meanwhile. */
    static void block(std::chrono::milliseconds time) { std::this_thread::sleep_for(time); }

    gateway_fixture m_gateway;
};

CPPUNIT_TEST_SUITE_REGISTRATION(blocked_node_test);
