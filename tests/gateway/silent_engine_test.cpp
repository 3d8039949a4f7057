#include "gateway/gateway_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <sstream>
#include <string>

using namespace comfreypass;
using namespace comfreypass::tests;
using namespace std::chrono_literals;

namespace {

std::string response(const std::string &id, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nId: " + id
           + "\r\nSigned: s\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string chunk(const std::string &bytes)
{
    std::ostringstream text;
    text << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return text.str();
}

std::string event(int id)
{
    return chunk("id: " + std::to_string(id) + "\ndata: x\n\n");
}

const std::string streamHead
    = "HTTP/1.1 200 OK\r\nId: 1\r\nSigned: s\r\nContent-Type: text/event-stream\r\n"
      "Transfer-Encoding: chunked\r\n\r\n";

const std::string streamEnd = "0\r\n\r\n";

const std::string rejection = "HTTP/1.1 503 Service Unavailable\r\nId: 1\r\nNot-Run: 1\r\n"
                              "Content-Length: 0\r\n\r\n";

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

std::size_t count(const std::string &text, const std::string &part)
{
    std::size_t found = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++found;
    return found;
}

} // namespace

/** An engine that falls silent or breaks off, and another one that may take its request over. */
class silent_engine_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(silent_engine_test);
    CPPUNIT_TEST(begunStreamIsNotCutWhenNoOtherEngineTakesIt);
    CPPUNIT_TEST(plainRequestIsNotFailedWhenNoOtherEngineTakesIt);
    CPPUNIT_TEST(silentStreamIsResumedOnceAtAFreeEngine);
    CPPUNIT_TEST(streamDoesNotRunTwiceWhenItsEngineGoesOn);
    CPPUNIT_TEST(silentStreamIsResumedWhenASlotIsFreed);
    CPPUNIT_TEST(silentStreamIsResumedAheadOfLaterRequests);
    CPPUNIT_TEST(brokenStreamIsResumedWhenItsEngineWasSilentBefore);
    CPPUNIT_TEST(silentStreamDoesNotRunAfterItsDeadline);
    CPPUNIT_TEST(silentStreamDoesNotRunAfterItsCallerHasLeft);
    CPPUNIT_TEST(largeResponseIsNotAbandonedWhileItIsForwarded);
    CPPUNIT_TEST(brokenStreamIsNotCutWhileItsCallerWaits);
    CPPUNIT_TEST(brokenStreamIsNotCutWhileItsRouteAllowsLongPauses);
    CPPUNIT_TEST(brokenStreamIsNotCutWhenAnEngineRejectsIt);
    CPPUNIT_TEST(brokenStreamDoesNotRunAfterItsCallersPatience);
    CPPUNIT_TEST(movedStreamIsNotCutWhenItsSuccessorRejectsIt);
    CPPUNIT_TEST(movedStreamIsNotCutWhenItsSuccessorIsUnreachable);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a stream that is cut because its silent engine was left before another was
    // found.
    void begunStreamIsNotCutWhenNoOtherEngineTakesIt()
    {
        raw_socket engine = beginStream();
        listening_socket &other = addEngineOutOfColdRequests();
        m_gateway.loop.runFor(1'900ms);
        engine.send(event(2) + streamEnd);
        m_gateway.waitFor("end", [&] { return hasEnded(*m_caller); });
        CPPUNIT_ASSERT(contains(m_caller->receive(), event(2) + streamEnd));
        CPPUNIT_ASSERT(!other.pending());
    }

    // Guards against 502 for a request whose engine answers after a second of silence.
    void plainRequestIsNotFailedWhenNoOtherEngineTakesIt()
    {
        listening_socket &listener = m_gateway.addEngine("e1", 1);
        configure();
        m_caller = m_gateway.call("/plain/", "1");
        raw_socket engine = m_gateway.acceptAt(listener);
        m_gateway.requestAt(engine);
        addEngineOutOfColdRequests();
        m_gateway.loop.runFor(1'100ms);
        engine.send(response("1", "slow"));
        CPPUNIT_ASSERT(m_gateway.responseOf(*m_caller).ends_with("slow"));
    }

    // Guards against events that are lost or sent twice when a stream leaves a silent engine.
    void silentStreamIsResumedOnceAtAFreeEngine()
    {
        raw_socket engine = beginStream();
        listening_socket &listener = m_gateway.addEngine("e2", 1);
        raw_socket other = m_gateway.acceptAt(listener);
        CPPUNIT_ASSERT(contains(m_gateway.requestAt(other), "Resume: 1\r\n"));
        engine.receive();
        CPPUNIT_ASSERT(engine.ended());
        other.send(streamHead + event(2) + streamEnd);
        m_gateway.waitFor("end", [&] { return hasEnded(*m_caller); });
        CPPUNIT_ASSERT(contains(m_caller->receive(), event(1) + event(2) + streamEnd));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count(other.receive(), "Id: 1\r\n"));
        CPPUNIT_ASSERT(!m_listener->pending() && !listener.pending());
        assertBothEnginesAreFree(listener, other);
    }

    // Guards against a second run of a stream whose engine went on while it was queued.
    void streamDoesNotRunTwiceWhenItsEngineGoesOn()
    {
        raw_socket engine = beginStream();
        listening_socket &listener = m_gateway.addEngine("e2", 1);
        raw_socket other = occupy(listener);
        m_gateway.loop.runFor(1'500ms);
        engine.send(event(2));
        m_gateway.waitFor("event", [&] { return contains(m_caller->receive(), event(2)); });
        other.send(response("9", "done"));
        m_gateway.loop.runFor(200ms);
        engine.send(event(3) + streamEnd);
        m_gateway.waitFor("end", [&] { return hasEnded(*m_caller); });
        CPPUNIT_ASSERT(contains(m_caller->receive(), event(3) + streamEnd));
        CPPUNIT_ASSERT(!contains(other.receive(), "Id: 1\r\n") && !listener.pending());
    }

    // Guards against a stream that stays at an engine that has stopped although a slot is freed.
    void silentStreamIsResumedWhenASlotIsFreed()
    {
        raw_socket engine = beginStream();
        listening_socket &listener = m_gateway.addEngine("e2", 1);
        raw_socket other = occupy(listener);
        m_gateway.loop.runFor(1'400ms);
        engine.receive();
        CPPUNIT_ASSERT(!engine.ended());
        other.send(response("9", "done"));
        m_gateway.waitFor("resumed stream",
                          [&] { return contains(other.receive(), "Resume: 1\r\n"); });
        engine.receive();
        CPPUNIT_ASSERT(engine.ended());
        other.send(streamHead + event(2) + streamEnd);
        m_gateway.waitFor("end", [&] { return hasEnded(*m_caller); });
        CPPUNIT_ASSERT(contains(m_caller->receive(), event(2) + streamEnd));
        assertBothEnginesAreFree(listener, other);
    }

    // Guards against a stream that never leaves a stopped engine while the queue is not empty.
    void silentStreamIsResumedAheadOfLaterRequests()
    {
        raw_socket engine = beginStream();
        listening_socket &listener = m_gateway.addEngine("e2", 1);
        raw_socket other = occupy(listener);
        m_gateway.loop.runFor(1'300ms);
        const auto later = m_gateway.call("/once/", "2", "Wait-Ms: 500\r\n");
        m_gateway.loop.runFor(50ms);
        other.send(response("9", "done"));
        m_gateway.waitFor("next request",
                          [&] { return count(other.receive(), "\r\n\r\nbody") == 2; });
        other.send(contains(other.receive(), "Id: 2\r\n") ? response("2", "done")
                                                          : streamHead + event(2) + streamEnd);
        m_gateway.waitFor("resumed stream",
                          [&] { return contains(other.receive(), "Resume: 1\r\n"); });
    }

    // Guards against a stream that is cut because its engine ends while another is sought.
    void brokenStreamIsResumedWhenItsEngineWasSilentBefore()
    {
        raw_socket engine = beginStream();
        listening_socket &listener = m_gateway.addEngine("e2", 1);
        raw_socket other = occupy(listener);
        m_gateway.loop.runFor(1'400ms);
        engine.close();
        m_gateway.loop.runFor(100ms);
        other.send(response("9", "done"));
        m_gateway.waitFor("resumed stream",
                          [&] { return contains(other.receive(), "Resume: 1\r\n"); });
        other.send(streamHead + event(2) + streamEnd);
        m_gateway.waitFor("end", [&] { return hasEnded(*m_caller); });
        CPPUNIT_ASSERT(contains(m_caller->receive(), event(2) + streamEnd));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count(other.receive(), "Id: 1\r\n"));
        assertBothEnginesAreFree(listener, other);
    }

    // Guards against a run that starts after the caller was told that its time has passed.
    void silentStreamDoesNotRunAfterItsDeadline()
    {
        raw_socket engine = beginStream("Wait-Ms: 1500\r\n");
        listening_socket &listener = m_gateway.addEngine("e2", 1);
        raw_socket other = occupy(listener);
        m_gateway.waitFor("deadline", [&] { return hasEnded(*m_caller); });
        CPPUNIT_ASSERT(!m_caller->receive().ends_with(streamEnd));
        other.send(response("9", "done"));
        m_gateway.loop.runFor(200ms);
        engine.receive();
        CPPUNIT_ASSERT(engine.ended());
        CPPUNIT_ASSERT(!contains(other.receive(), "Id: 1\r\n"));
        assertBothEnginesAreFree(listener, other);
    }

    // Guards against a run for a caller that left while another engine was sought.
    void silentStreamDoesNotRunAfterItsCallerHasLeft()
    {
        raw_socket engine = beginStream();
        listening_socket &listener = m_gateway.addEngine("e2", 1);
        raw_socket other = occupy(listener);
        m_gateway.loop.runFor(1'400ms);
        m_caller->close();
        m_gateway.waitFor("release", [&] {
            engine.receive();
            return engine.ended();
        });
        other.send(response("9", "done"));
        m_gateway.loop.runFor(200ms);
        CPPUNIT_ASSERT(!contains(other.receive(), "Id: 1\r\n"));
        assertBothEnginesAreFree(listener, other);
    }

    // Guards against a response that is cut although its engine still sends it.
    void largeResponseIsNotAbandonedWhileItIsForwarded()
    {
        listening_socket &listener = m_gateway.addEngine("e1", 1);
        configure();
        m_caller = m_gateway.call("/plain/", "1");
        raw_socket engine = m_gateway.acceptAt(listener);
        m_gateway.requestAt(engine);
        const listening_socket &other = m_gateway.addEngine("e2", 1);
        const std::string block(100'000, 'x');
        constexpr int blocks = 10;
        engine.send("HTTP/1.1 200 OK\r\nId: 1\r\nSigned: s\r\nContent-Length: "
                    + std::to_string(block.size() * blocks) + "\r\n\r\n");
        for (int i = 0; i < blocks; ++i) {
            sendAll(engine, block);
            m_gateway.loop.runFor(100ms);
            m_caller->receive();
        }
        m_gateway.waitFor("end", [&] { return hasEnded(*m_caller); });
        const std::string &received = m_caller->receive();
        CPPUNIT_ASSERT(received.ends_with(streamEnd));
        CPPUNIT_ASSERT_EQUAL(block.size() * blocks, count(received, "x"));
        CPPUNIT_ASSERT(!other.pending());
    }

    // Guards against a stream that is cut although a slot becomes free while its caller waits.
    void brokenStreamIsNotCutWhileItsCallerWaits()
    {
        raw_socket engine = beginStream();
        listening_socket &listener = m_gateway.addEngine("e2", 1);
        raw_socket other = occupy(listener);
        engine.close();
        m_gateway.loop.runFor(1'000ms);
        other.send(response("9", "done"));
        assertResumedAt(other);
        assertBothEnginesAreFree(listener, other);
    }

    // Guards against a stream that is cut after 2 s although its route's callers wait longer.
    void brokenStreamIsNotCutWhileItsRouteAllowsLongPauses()
    {
        m_gateway.longestPause = 400ms;
        raw_socket engine = beginStream();
        listening_socket &listener = m_gateway.addEngine("e2", 1);
        raw_socket other = occupy(listener);
        engine.close();
        m_gateway.loop.runFor(2'600ms);
        other.send(response("9", "done"));
        assertResumedAt(other);
        assertBothEnginesAreFree(listener, other);
    }

    // Guards against a stream that is cut because full engines reject it a few times.
    void brokenStreamIsNotCutWhenAnEngineRejectsIt()
    {
        raw_socket engine = beginStream();
        listening_socket &listener = m_gateway.addEngine("e2", 1);
        engine.close();
        constexpr int rejections = 5;
        for (int i = 0; i < rejections; ++i) {
            // A second attempt at an address uses a new connection.
            raw_socket rejecting = m_gateway.acceptAt(listener);
            CPPUNIT_ASSERT(contains(m_gateway.requestAt(rejecting), "Resume: 1\r\n"));
            m_caller->receive();
            CPPUNIT_ASSERT(!m_caller->ended());
            rejecting.send(rejection);
        }
        raw_socket other = m_gateway.acceptAt(listener);
        assertResumedAt(other);
        assertBothEnginesAreFree(listener, other);
    }

    // Guards against a run for a caller that has given up, and against a stream that never ends.
    void brokenStreamDoesNotRunAfterItsCallersPatience()
    {
        raw_socket engine = beginStream();
        listening_socket &listener = m_gateway.addEngine("e2", 1);
        raw_socket other = occupy(listener);
        engine.close();
        m_gateway.waitFor("end", [&] { return hasEnded(*m_caller); });
        CPPUNIT_ASSERT(!m_caller->receive().ends_with(streamEnd));
        other.send(response("9", "done"));
        m_gateway.loop.runFor(200ms);
        CPPUNIT_ASSERT(!contains(other.receive(), "Id: 1\r\n"));
        assertBothEnginesAreFree(listener, other);
    }

    // Guards against a stream that is cut because the only engine that has left it a slot is full.
    void movedStreamIsNotCutWhenItsSuccessorRejectsIt()
    {
        raw_socket engine = beginStream();
        listening_socket &listener = m_gateway.addEngine("e2", 1);
        raw_socket other = m_gateway.acceptAt(listener);
        CPPUNIT_ASSERT(contains(m_gateway.requestAt(other), "Resume: 1\r\n"));
        other.send(rejection);
        raw_socket again = m_gateway.acceptAt(*m_listener);
        assertResumedAt(again);
        again.close();
        m_gateway.loop.runFor(50ms);
        assertBothEnginesAreFree(listener, other);
    }

    // Guards against a stream that is cut because the engine that it was moved to is gone.
    void movedStreamIsNotCutWhenItsSuccessorIsUnreachable()
    {
        raw_socket engine = beginStream();
        m_gateway.stopEngine(m_gateway.addEngine("e2", 1));
        raw_socket again = m_gateway.acceptAt(*m_listener);
        assertResumedAt(again);
    }

private:
    void assertResumedAt(raw_socket &other)
    {
        m_gateway.waitFor("resumed stream", [&] {
            m_caller->receive();
            return contains(other.receive(), "Resume: 1\r\n") || m_caller->ended();
        });
        other.send(streamHead + event(2) + streamEnd);
        m_gateway.waitFor("end", [&] { return hasEnded(*m_caller); });
        CPPUNIT_ASSERT(contains(m_caller->receive(), event(1) + event(2) + streamEnd));
    }

    void sendAll(raw_socket &engine, std::string_view bytes)
    {
        m_gateway.waitFor("bytes sent", [&] {
            bytes.remove_prefix(engine.send(bytes));
            m_caller->receive();
            return bytes.empty() || m_caller->ended();
        });
    }

    void configure()
    {
        m_gateway.configure(1, {}, {{.name = "u", .coldTime = 60s, .coldRequestsPerSecond = 0.1}});
    }

    /** Starts a stream at the engine "e1", which has one slot, up to its first event. */
    raw_socket beginStream(const std::string &fields = "")
    {
        m_listener = &m_gateway.addEngine("e1", 1);
        configure();
        m_caller = m_gateway.call("/stream/", "1", fields);
        raw_socket engine = m_gateway.acceptAt(*m_listener);
        m_gateway.requestAt(engine);
        engine.send(streamHead + event(1));
        m_gateway.waitFor("event", [&] { return contains(m_caller->receive(), event(1)); });
        return engine;
    }

    /** Adds an engine whose slots are free, but which is cold and has had its requests. */
    listening_socket &addEngineOutOfColdRequests()
    {
        listening_socket &listener = m_gateway.addEngine("e2", 100, 60s);
        const auto caller = m_gateway.call("/once/", "9");
        raw_socket engine = m_gateway.acceptAt(listener);
        m_gateway.requestAt(engine);
        engine.send(response("9", "done"));
        CPPUNIT_ASSERT(m_gateway.responseOf(*caller).ends_with("done"));
        return listener;
    }

    /** Takes the only slot of the engine. */
    raw_socket occupy(listening_socket &listener)
    {
        m_occupant = m_gateway.call("/once/", "9");
        raw_socket engine = m_gateway.acceptAt(listener);
        m_gateway.requestAt(engine);
        return engine;
    }

    /** Fails unless both engines, with one slot each, take a request at once. */
    void assertBothEnginesAreFree(listening_socket &otherListener, raw_socket &other)
    {
        const auto third = m_gateway.call("/once/", "3");
        const auto fourth = m_gateway.call("/once/", "4");
        m_gateway.waitFor("request at each engine", [&] {
            const bool atOther = otherListener.pending() || contains(other.receive(), "Id: 3\r\n")
                                 || contains(other.receive(), "Id: 4\r\n");
            return atOther && m_listener->pending();
        });
    }

    static bool hasEnded(raw_socket &caller)
    {
        return caller.receive().ends_with(streamEnd) || caller.ended();
    }

    gateway_fixture m_gateway;
    listening_socket *m_listener = nullptr;
    std::unique_ptr<raw_socket> m_caller;
    std::unique_ptr<raw_socket> m_occupant;
};

CPPUNIT_TEST_SUITE_REGISTRATION(silent_engine_test);
