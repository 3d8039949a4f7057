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

private:
    gateway_fixture m_gateway;
};

CPPUNIT_TEST_SUITE_REGISTRATION(leaving_node_test);
