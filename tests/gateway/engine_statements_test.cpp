#include "gateway/gateway_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <sstream>
#include <string>
#include <vector>

using namespace comfreypass;
using namespace comfreypass::tests;
using namespace std::chrono_literals;

namespace {

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

std::string response(const std::string &status, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + std::to_string(body.size())
           + "\r\n\r\n" + body;
}

std::string served(const std::string &id, const std::string &fields = "")
{
    return response("200 OK", "Id: " + id + "\r\nSigned: s\r\n" + fields, "fine");
}

const std::string streamHead = "HTTP/1.1 200 OK\r\nId: 1\r\nSigned: s\r\n"
                               "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";

} // namespace

/** Statements of engines about themselves in their responses, byte by byte. */
class engine_statements_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(engine_statements_test);
    CPPUNIT_TEST(engineIsLeftAfterAnyResponseThatStatesItsLeaving);
    CPPUNIT_TEST(idleConnectionsToALeavingEngineAreClosed);
    CPPUNIT_TEST(queuedRequestIsNotGrantedToALeavingEngine);
    CPPUNIT_TEST(brokenStreamIsNotResumedAtALeavingEngine);
    CPPUNIT_TEST(runningStreamOfALeavingEngineContinues);
    CPPUNIT_TEST(misdirectedResponseDoesNotExcludeTheNamedEngine);
    CPPUNIT_TEST(restartedEngineIsUsedAgain);
    CPPUNIT_TEST(refusalNamesTheLeavingEngines);
    CPPUNIT_TEST(pausedEngineReceivesNoRequests);
    CPPUNIT_TEST(refusalNamesThePauseAndItsEnd);
    CPPUNIT_TEST(pauseOfAnotherRequestIsNotCounted);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against requests to an engine that stated its leaving in a response of any kind.
    void engineIsLeftAfterAnyResponseThatStatesItsLeaving()
    {
        const std::string leaving = "Leaving: 1\r\n";
        const std::vector<std::pair<std::string, std::string>> cases = {
            {"complete response", served("1", leaving)},
            {"header only", "HTTP/1.1 200 OK\r\nId: 1\r\nSigned: s\r\n" + leaving
                                + "Content-Length: 90\r\n\r\nhalf"},
            {"stream", streamHead + leaving + "\r\n"},
            {"engine's failure",
             response("500 Internal Server Error", "Id: 1\r\nSigned: s\r\n" + leaving, "failed")},
            {"rejection", response("503 Service Unavailable", "Not-Run: 1\r\n" + leaving, "")},
            {"interim response", "HTTP/1.1 103 Early Hints\r\n" + leaving + "\r\n"},
            {"late response to another request", served("0", leaving)},
        };
        for (const auto &[name, bytes] : cases) {
            gateway_fixture gateway;
            listening_socket &first = gateway.addEngine("e1", 9);
            gateway.configure(1);
            const auto caller = gateway.call(name == "stream" ? "/stream/" : "/once/", "1");
            raw_socket engine = gateway.acceptAt(first);
            gateway.requestAt(engine);
            listening_socket &second = gateway.addEngine("e2", 9);
            engine.send(bytes);
            gateway.waitFor(name, [&] { return excludedEngines(gateway) == 1; });
            if (name == "rejection") {
                raw_socket other = gateway.acceptAt(second);
                gateway.requestAt(other);
                other.send(served("1", "Connection: close\r\n"));
            }
            std::vector<std::unique_ptr<raw_socket>> callers;
            for (int i = 2; i < 8; ++i) {
                callers.push_back(gateway.call("/once/", std::to_string(i)));
                raw_socket other = gateway.acceptAt(second);
                gateway.requestAt(other);
                other.send(served(std::to_string(i), "Connection: close\r\n"));
                CPPUNIT_ASSERT_MESSAGE(name, gateway.responseOf(*callers.back()).ends_with("fine"));
            }
            CPPUNIT_ASSERT_MESSAGE(name, !first.pending());
            CPPUNIT_ASSERT_MESSAGE(name, !contains(engine.receive(), "Id: 2\r\n"));
        }
    }

    // Guards against a request that reaches a leaving engine over a kept connection, and against an
    // engine that waits for idle connections before it exits.
    void idleConnectionsToALeavingEngineAreClosed()
    {
        listening_socket &listener = m_gateway.addEngine("e1", 9);
        m_gateway.configure(1);
        const auto first = m_gateway.call("/once/", "1");
        raw_socket engine = m_gateway.acceptAt(listener);
        m_gateway.requestAt(engine);
        const auto second = m_gateway.call("/once/", "2");
        raw_socket other = m_gateway.acceptAt(listener);
        m_gateway.requestAt(other);
        engine.send(served("1"));
        m_gateway.responseOf(*first);
        CPPUNIT_ASSERT(!engine.ended());
        other.send(served("2", "Leaving: 1\r\n"));
        m_gateway.responseOf(*second);
        m_gateway.waitFor("end of the idle connections", [&] {
            engine.receive();
            other.receive();
            return engine.ended() && other.ended();
        });
    }

    // Guards against a queued request that starts with the last response of a leaving engine.
    void queuedRequestIsNotGrantedToALeavingEngine()
    {
        listening_socket &first = m_gateway.addEngine("e1", 1);
        m_gateway.configure(1);
        const auto running = m_gateway.call("/once/", "1");
        raw_socket engine = m_gateway.acceptAt(first);
        m_gateway.requestAt(engine);
        const auto queued = m_gateway.call("/once/", "2");
        CPPUNIT_ASSERT(m_gateway.isWaitingForResponse(*queued));
        engine.send(served("1", "Leaving: 1\r\n"));
        CPPUNIT_ASSERT(m_gateway.responseOf(*running).ends_with("fine"));
        CPPUNIT_ASSERT(m_gateway.isWaitingForResponse(*queued));
        CPPUNIT_ASSERT(!first.pending() && !contains(engine.receive(), "Id: 2\r\n"));
        listening_socket &second = m_gateway.addEngine("e2", 1);
        raw_socket other = m_gateway.acceptAt(second);
        m_gateway.requestAt(other);
        other.send(served("2"));
        CPPUNIT_ASSERT(m_gateway.responseOf(*queued).ends_with("fine"));
    }

    // Guards against resuming a stream at an engine that stated its leaving in another response.
    void brokenStreamIsNotResumedAtALeavingEngine()
    {
        listening_socket &first = m_gateway.addEngine("e1", 1);
        m_gateway.configure(1);
        const auto caller = m_gateway.call("/once/", "1");
        raw_socket engine = m_gateway.acceptAt(first);
        m_gateway.requestAt(engine);
        listening_socket &second = m_gateway.addEngine("e2", 1);
        auto stream = m_gateway.call("/stream/", "2");
        raw_socket other = m_gateway.acceptAt(second);
        m_gateway.requestAt(other);
        engine.send(served("1", "Leaving: 1\r\n"));
        m_gateway.responseOf(*caller);
        other.close();
        CPPUNIT_ASSERT(m_gateway.isWaitingForResponse(*stream));
        CPPUNIT_ASSERT(!first.pending() && !contains(engine.receive(), "Id: 2\r\n"));
    }

    // Guards against breaking off what still runs at a leaving engine.
    void runningStreamOfALeavingEngineContinues()
    {
        listening_socket &first = m_gateway.addEngine("e1", 9);
        m_gateway.configure(1);
        const auto stream = m_gateway.call("/stream/", "1");
        raw_socket engine = m_gateway.acceptAt(first);
        m_gateway.requestAt(engine);
        engine.send(streamHead + "Leaving: 1\r\n\r\n" + "d\r\nid: 1\ndata: a\r\n");
        m_gateway.waitFor("statement", [&] { return excludedEngines(m_gateway) == 1; });
        engine.send("2\r\n\n\n\r\nf\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n");
        m_gateway.waitFor("end", [&] { return stream->receive().ends_with("0\r\n\r\n"); });
        CPPUNIT_ASSERT(contains(stream->receive(), "id: 2\ndata: b\n\n"));
    }

    // Guards against shunning an engine for what another engine at its address has stated.
    void misdirectedResponseDoesNotExcludeTheNamedEngine()
    {
        listening_socket &listener = m_gateway.addEngine("e1", 9);
        m_gateway.configure(1);
        const auto caller = m_gateway.call("/once/", "1");
        raw_socket engine = m_gateway.acceptAt(listener);
        m_gateway.requestAt(engine);
        engine.send(response("421 Misdirected Request", "Leaving: 1\r\n", ""));
        CPPUNIT_ASSERT(m_gateway.isWaitingForResponse(*caller));
        CPPUNIT_ASSERT_EQUAL(0.0, excludedEngines(m_gateway));
    }

    // Guards against a new process that is shunned for the statement of the one before it, and
    // against an entry of the old process that ends the exclusion.
    void restartedEngineIsUsedAgain()
    {
        listening_socket listener;
        publish(listener, 100);
        m_gateway.configure(1);
        const auto first = m_gateway.call("/once/", "1");
        {
            raw_socket engine = m_gateway.acceptAt(listener);
            m_gateway.requestAt(engine);
            engine.send(served("1", "Leaving: 1\r\n"));
            m_gateway.responseOf(*first);
        }
        const auto second = m_gateway.call("/once/", "2");
        publish(listener, 100);
        CPPUNIT_ASSERT(m_gateway.isWaitingForResponse(*second));
        CPPUNIT_ASSERT(!listener.pending());
        publish(listener, 200);
        raw_socket engine = m_gateway.acceptAt(listener);
        m_gateway.requestAt(engine);
        engine.send(served("2"));
        CPPUNIT_ASSERT(m_gateway.responseOf(*second).ends_with("fine"));
    }

    // Guards against a refusal that does not tell why no engine serves the request.
    void refusalNamesTheLeavingEngines()
    {
        listening_socket &listener = m_gateway.addEngine("e1", 9);
        m_gateway.configure(1);
        const auto first = m_gateway.call("/once/", "1");
        raw_socket engine = m_gateway.acceptAt(listener);
        m_gateway.requestAt(engine);
        engine.send(served("1", "Leaving: 1\r\n"));
        m_gateway.responseOf(*first);
        const auto second = m_gateway.call("/once/", "2");
        const std::string refusal = m_gateway.responseOf(*second);
        CPPUNIT_ASSERT(refusal.starts_with("HTTP/1.1 503 "));
        CPPUNIT_ASSERT(contains(refusal, "Retry-After: "));
        CPPUNIT_ASSERT(refusal.ends_with("engines_leaving\n"));
    }

    // Guards against requests to an engine that rejected one and asked for a pause.
    void pausedEngineReceivesNoRequests()
    {
        listening_socket &first = m_gateway.addEngine("e1", 9);
        m_gateway.configure(1);
        const auto caller = m_gateway.call("/once/", "1");
        raw_socket engine = m_gateway.acceptAt(first);
        m_gateway.requestAt(engine);
        listening_socket &second = m_gateway.addEngine("e2", 9);
        engine.send(response("503 Service Unavailable", "Not-Run: 1\r\nPause-Ms: 60000\r\n", ""));
        for (int i = 1; i < 8; ++i) {
            const auto next = i == 1 ? nullptr : m_gateway.call("/once/", std::to_string(i));
            raw_socket other = m_gateway.acceptAt(second);
            m_gateway.requestAt(other);
            other.send(served(std::to_string(i), "Connection: close\r\n"));
            CPPUNIT_ASSERT(m_gateway.responseOf(i == 1 ? *caller : *next).ends_with("fine"));
        }
        CPPUNIT_ASSERT_EQUAL(1.0, excludedEngines(m_gateway));
        CPPUNIT_ASSERT(!first.pending() && !contains(engine.receive(), "Id: 2\r\n"));
    }

    // Guards against a refusal that sends callers back while all engines are paused.
    void refusalNamesThePauseAndItsEnd()
    {
        listening_socket &listener = m_gateway.addEngine("e1", 9);
        m_gateway.configure(1);
        const auto caller = m_gateway.call("/once/", "1");
        raw_socket engine = m_gateway.acceptAt(listener);
        m_gateway.requestAt(engine);
        engine.send(response("503 Service Unavailable", "Not-Run: 1\r\nPause-Ms: 20000\r\n", ""));
        const std::string refusal = m_gateway.responseOf(*caller);
        CPPUNIT_ASSERT(refusal.starts_with("HTTP/1.1 503 "));
        CPPUNIT_ASSERT(refusal.ends_with("engines_paused\n"));
        const std::string field = "Retry-After: ";
        const double delay = std::stod(refusal.substr(refusal.find(field) + field.size()));
        CPPUNIT_ASSERT(delay > 19 && delay < 25);
    }

    // Guards against a pause stated in a response that does not belong to the request, or in one
    // that is not a valid pause.
    void pauseOfAnotherRequestIsNotCounted()
    {
        listening_socket &listener = m_gateway.addEngine("e1", 9);
        m_gateway.configure(1);
        const auto caller = m_gateway.call("/once/", "1");
        raw_socket engine = m_gateway.acceptAt(listener);
        m_gateway.requestAt(engine);
        engine.send(
            response("503 Service Unavailable", "Id: 0\r\nNot-Run: 1\r\nPause-Ms: 20000\r\n", ""));
        CPPUNIT_ASSERT(m_gateway.isWaitingForResponse(*caller));
        CPPUNIT_ASSERT_EQUAL(0.0, excludedEngines(m_gateway));
        engine.send(response("503 Service Unavailable",
                             "Id: 1\r\nNot-Run: 1\r\nPause-Ms: invalid\r\n", ""));
        m_gateway.isWaitingForResponse(*caller);
        CPPUNIT_ASSERT_EQUAL(0.0, excludedEngines(m_gateway));
    }

private:
    /** Returns the number of engines that the node excludes because of their statements. */
    static double excludedEngines(gateway_fixture &gateway)
    {
        gateway.node.node->refreshMetrics();
        std::ostringstream text;
        gateway.node.metrics.writeText(text, std::chrono::system_clock::now());
        double sum = 0;
        std::istringstream lines(text.str());
        for (std::string line; std::getline(lines, line);) {
            if (line.starts_with("comfreypass_gateway_excluded_engines{"))
                sum += std::stod(line.substr(line.rfind(' ')));
        }
        return sum;
    }

    void publish(const listening_socket &listener, std::uint64_t startedAt)
    {
        m_gateway.node.write(
            gateway::collection_id::Engines, "engine/e1", ++m_gateway.revision,
            dispatch::engine_entry{.id = "e1",
                                   .upstream = "u",
                                   .address = "127.0.0.1:" + std::to_string(listener.port()),
                                   .domain = "d1",
                                   .slots = 9,
                                   .startedAt = startedAt});
    }

    gateway_fixture m_gateway;
};

CPPUNIT_TEST_SUITE_REGISTRATION(engine_statements_test);
