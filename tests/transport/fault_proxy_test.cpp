#include "support/fault_proxy.h"
#include "support/listening_socket.h"
#include "support/loopback.h"
#include "support/raw_socket.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <optional>
#include <string>

using namespace comfreypass::tests;

/** Tests the test double itself: integration tests are void if the proxy injects no fault. */
class fault_proxy_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fault_proxy_test);
    CPPUNIT_TEST(bytesAndStreamEndsAreForwarded);
    CPPUNIT_TEST(heldBytesAreForwardedAfterHealing);
    CPPUNIT_TEST(resetFollowsTheGivenNumberOfBytes);
    CPPUNIT_TEST(halfOpenSideSeesNoEnd);
    CPPUNIT_TEST(garbledBytesAreReplaced);
    CPPUNIT_TEST(refusedConnectionsAreClosed);
    CPPUNIT_TEST(unknownCommandsAreRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a proxy that loses bytes or the end of a stream while no fault is set.
    void bytesAndStreamEndsAreForwarded()
    {
        connect();
        const std::string body(1'000'000, 'b');
        std::size_t sent = 0;
        m_loopback.waitFor("all bytes", [&] {
            sent += m_caller->send(std::string_view(body).substr(sent));
            return m_upstream->receive() == body;
        });
        m_caller->closeSending();
        m_upstream->send("response");
        m_upstream->closeSending();
        m_loopback.waitFor("both ends", [&] {
            m_upstream->receive();
            return m_caller->receive() == "response" && m_caller->ended() && m_upstream->ended();
        });
        m_loopback.waitFor("removal of the connection",
                           [&] { return m_proxy->openConnections() == 0; });
    }

    // Guards against a partition that forwards bytes, or loses them permanently.
    void heldBytesAreForwardedAfterHealing()
    {
        connect();
        command("hold to-target");
        m_caller->send("request");
        m_upstream->send("other way");
        m_loopback.waitFor("bytes in the open direction",
                           [&] { return m_caller->receive() == "other way"; });
        m_loopback.runFor(std::chrono::milliseconds(50));
        CPPUNIT_ASSERT(m_upstream->receive().empty());
        command("delay 1");
        command("heal");
        m_loopback.waitFor("the held bytes", [&] { return m_upstream->receive() == "request"; });
    }

    // Guards against a reset at another offset than the requested one.
    void resetFollowsTheGivenNumberOfBytes()
    {
        connect();
        command("reset-after 4");
        m_upstream->send("response");
        m_loopback.waitFor("the reset", [&] {
            m_caller->receive();
            m_upstream->receive();
            return m_caller->ended() && m_upstream->ended();
        });
        CPPUNIT_ASSERT(std::string("resp").starts_with(m_caller->receive()));
    }

    // Guards against a half-open connection that the caller can distinguish from a live one.
    void halfOpenSideSeesNoEnd()
    {
        connect();
        command("half-open");
        m_caller->send("lost bytes");
        m_loopback.waitFor("the target's end", [&] {
            m_upstream->receive();
            return m_upstream->ended();
        });
        m_loopback.runFor(std::chrono::milliseconds(50));
        m_caller->receive();
        CPPUNIT_ASSERT(!m_caller->ended());
    }

    // Guards against a garble command without effect.
    void garbledBytesAreReplaced()
    {
        connect();
        command("garble 3");
        m_upstream->send("aaaaaa");
        m_loopback.waitFor("the bytes", [&] { return m_caller->receive().size() == 6; });
        CPPUNIT_ASSERT_EQUAL(std::string("aa;aa;"), m_caller->receive());
    }

    // Guards against connections that are accepted or stay open during an outage.
    void refusedConnectionsAreClosed()
    {
        connect();
        command("refuse on");
        command("cut");
        raw_socket second(m_port);
        m_loopback.waitFor("both ends", [&] {
            m_caller->receive();
            second.receive();
            return m_caller->ended() && second.ended();
        });
        CPPUNIT_ASSERT(!m_listening.pending());
    }

    // Guards against a misspelt command that is silently accepted.
    void unknownCommandsAreRefused()
    {
        connect();
        for (const std::string_view line : {"", "delay", "delay x", "hold", "cut now", "explode"})
            CPPUNIT_ASSERT(!m_proxy->command(line).has_value());
    }

private:
    void connect()
    {
        m_proxy
            = std::make_unique<fault_proxy>(m_loopback.reactor(), "127.0.0.1", m_listening.port());
        m_port = m_proxy->listen().value();
        m_caller = std::make_unique<raw_socket>(m_port);
        m_loopback.waitFor("the connection", [&] { return m_listening.pending(); });
        m_upstream = std::make_unique<raw_socket>(m_listening.accept());
    }

    void command(const std::string &line) { CPPUNIT_ASSERT(m_proxy->command(line).has_value()); }

    loopback m_loopback;
    listening_socket m_listening;
    std::uint16_t m_port = 0;
    std::unique_ptr<fault_proxy> m_proxy;
    std::unique_ptr<raw_socket> m_caller;
    std::unique_ptr<raw_socket> m_upstream;
};

CPPUNIT_TEST_SUITE_REGISTRATION(fault_proxy_test);
