#include "gateway/gateway_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>

using namespace comfreypass;
using namespace comfreypass::tests;
using namespace std::chrono_literals;

namespace {

std::string response(const std::string &status, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + std::to_string(body.size())
           + "\r\n\r\n" + body;
}

std::string streamHead(const std::string &id)
{
    return "HTTP/1.1 200 OK\r\nId: " + id
           + "\r\nSigned: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: "
             "chunked\r\n\r\n";
}

/** The header of a stream that ends with its connection. */
std::string unframedStreamHead(const std::string &id)
{
    return "HTTP/1.1 200 OK\r\nId: " + id
           + "\r\nSigned: s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n";
}

std::string chunk(const std::string &bytes)
{
    std::ostringstream text;
    text << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return text.str();
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

class request_flow_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_flow_test);
    CPPUNIT_TEST(requestAndResponseAreForwardedUnchanged);
    CPPUNIT_TEST(requestWithoutConfigurationIsRefusedWithRetryAfter);
    CPPUNIT_TEST(unknownRoutesAndKeysAreRejected);
    CPPUNIT_TEST(keyIsRemovedAndTeamIsForwarded);
    CPPUNIT_TEST(deadlineIsNeverExtended);
    CPPUNIT_TEST(unsignedSuccessIsNotForwarded);
    CPPUNIT_TEST(responseToAnotherRequestIsNotForwarded);
    CPPUNIT_TEST(nonIdempotentRequestIsNotRetriedAfterReset);
    CPPUNIT_TEST(nonIdempotentRequestIsRetriedIfItDidNotRun);
    CPPUNIT_TEST(idempotentRequestIsRetriedAfterFailure);
    CPPUNIT_TEST(engineFailureIsForwardedWhenNoAttemptIsLeft);
    CPPUNIT_TEST(truncatedResponseIsNeverForwarded);
    CPPUNIT_TEST(streamResumesAtAnotherEngine);
    CPPUNIT_TEST(streamIsNotResumedAtWrongEvent);
    CPPUNIT_TEST(everyGatewayMetricIsRecorded);
    CPPUNIT_TEST(nonResumableStreamIsAbortedVisibly);
    CPPUNIT_TEST(disconnectedCallerReleasesEngine);
    CPPUNIT_TEST(queuedRequestStartsWhenASlotIsFreed);
    CPPUNIT_TEST(disconnectedCallerIsRemovedFromQueue);
    CPPUNIT_TEST(requestOverQuotaIsRefusedAndNeverSent);
    CPPUNIT_TEST(refusedRequestIsRefunded);
    CPPUNIT_TEST(retryableRequestIsRetriedWhenEngineStalls);
    CPPUNIT_TEST(requestStaysAtSlowEngineWithoutAlternative);
    CPPUNIT_TEST(unreachableEnginesAreSkipped);
    CPPUNIT_TEST(deadlineEndsRequestThatMayHaveRun);
    CPPUNIT_TEST(evacuatedDomainReceivesNoRequests);
    CPPUNIT_TEST(leavingNodeDrainsRequests);
    CPPUNIT_TEST(lateRequestAtLeavingNodeIsRefused);
    CPPUNIT_TEST(requestsThatCrashEnginesAreRefused);
    CPPUNIT_TEST(repeatedRequestThatCrashesEnginesIsRefused);
    CPPUNIT_TEST(requestsThatCrashEnginesInAQuietHourAreRefused);
    CPPUNIT_TEST(repeatedRequestThatCrashesEnginesInAQuietHourIsRefused);
    CPPUNIT_TEST(lostResponsesOfARunningEngineAreNotTakenForCrashes);
    CPPUNIT_TEST(soundRequestsBesideADeadlySegmentBeforeAnotherAreServed);
    CPPUNIT_TEST(shortStreamsWithoutALengthClearTheirSegments);
    CPPUNIT_TEST(responsesWithoutALengthClearTheirRequest);
    CPPUNIT_TEST(shortStreamsOfCrashedEnginesClearNothing);
    CPPUNIT_TEST(streamThatEndsInsideAnEventIsBrokenOff);
    CPPUNIT_TEST(streamThatEndsWithItsConnectionIsComplete);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a modified status, field or body in either direction.
    void requestAndResponseAreForwardedUnchanged()
    {
        listening_socket &listener = m_gateway.addEngine("e1");
        m_gateway.configure(1);
        const auto caller = m_gateway.call("/plain/x?y=%20z", "1", "Extra: kept\r\n");
        raw_socket engine = m_gateway.acceptAt(listener);
        const std::string request = m_gateway.requestAt(engine);
        CPPUNIT_ASSERT(request.starts_with("POST /plain/x?y=%20z HTTP/1.1\r\n"));
        CPPUNIT_ASSERT(contains(request, "Host: a.example\r\n"));
        CPPUNIT_ASSERT(contains(request, "Extra: kept\r\n"));
        CPPUNIT_ASSERT(contains(request, "Engine: e1\r\n"));
        engine.send(
            response("404 Not Found", "Id: 1\r\nSigned: s1\r\nEtag: t\r\n", "engine's own"));
        const std::string received = m_gateway.responseOf(*caller);
        CPPUNIT_ASSERT(received.starts_with("HTTP/1.1 404 "));
        CPPUNIT_ASSERT(contains(received, "Signed: s1\r\n") && contains(received, "Etag: t\r\n"));
        CPPUNIT_ASSERT(received.ends_with("\r\n\r\nengine's own"));
    }

    // Guards against 404 for a route that the node has not read yet.
    void requestWithoutConfigurationIsRefusedWithRetryAfter()
    {
        const auto caller = m_gateway.call("/plain/x", "1");
        const std::string received = m_gateway.responseOf(*caller);
        CPPUNIT_ASSERT(received.starts_with("HTTP/1.1 503 "));
        CPPUNIT_ASSERT(contains(received, "Retry-After: "));
        CPPUNIT_ASSERT(!m_gateway.node.node->ready());
    }

    // Guards against running requests without a route or a valid key.
    void unknownRoutesAndKeysAreRejected()
    {
        listening_socket &listener = m_gateway.addEngine("e1");
        m_gateway.configure(1, {{.name = "t", .keys = {"k"}}});
        const auto noRoute = m_gateway.call("/nowhere/", "1", "Key: k\r\n");
        CPPUNIT_ASSERT(m_gateway.responseOf(*noRoute).starts_with("HTTP/1.1 404 "));
        const auto noKey = m_gateway.call("/plain/", "2");
        CPPUNIT_ASSERT(m_gateway.responseOf(*noKey).starts_with("HTTP/1.1 401 "));
        const auto wrongKey = m_gateway.call("/plain/", "3", "Key: other\r\n");
        CPPUNIT_ASSERT(m_gateway.responseOf(*wrongKey).starts_with("HTTP/1.1 401 "));
        CPPUNIT_ASSERT(!listener.pending());
    }

    // Guards against leaking keys to engines, and against a forged team.
    void keyIsRemovedAndTeamIsForwarded()
    {
        listening_socket &listener = m_gateway.addEngine("e1");
        m_gateway.configure(1, {{.name = "t", .keys = {"secret"}}});
        const auto caller = m_gateway.call("/plain/", "1", "Key: secret\r\n");
        raw_socket engine = m_gateway.acceptAt(listener);
        const std::string request = m_gateway.requestAt(engine);
        CPPUNIT_ASSERT(!contains(request, "secret"));
        CPPUNIT_ASSERT(contains(request, "Team: t\r\n"));
    }

    // Guards against an engine that runs a request beyond the timeout of the caller or the route.
    void deadlineIsNeverExtended()
    {
        listening_socket &listener = m_gateway.addEngine("e1");
        m_gateway.configure(1);
        for (const auto &[field, maxMilliseconds] : std::vector<std::pair<std::string, int>>{
                 {"Wait-Ms: 900\r\n", 900}, {"", 4'000}, {"Wait-Ms: 60000\r\n", 4'000}}) {
            const auto caller = m_gateway.call("/once/", "1", field);
            raw_socket engine = m_gateway.acceptAt(listener);
            const std::string request = m_gateway.requestAt(engine);
            const std::size_t at = request.find("Wait-Ms: ") + 9;
            const int reported = std::stoi(request.substr(at));
            CPPUNIT_ASSERT(reported <= maxMilliseconds && reported > maxMilliseconds / 2);
        }
    }

    // Guards against forwarding a success that does not come from an engine.
    void unsignedSuccessIsNotForwarded()
    {
        listening_socket &listener = m_gateway.addEngine("e1");
        m_gateway.configure(1);
        const auto caller = m_gateway.call("/once/", "1");
        raw_socket engine = m_gateway.acceptAt(listener);
        m_gateway.requestAt(engine);
        engine.send(response("200 OK", "Id: 1\r\n", "garbage"));
        CPPUNIT_ASSERT(m_gateway.responseOf(*caller).starts_with("HTTP/1.1 502 "));
    }

    // Guards against sending a response to the wrong caller.
    void responseToAnotherRequestIsNotForwarded()
    {
        listening_socket &listener = m_gateway.addEngine("e1");
        m_gateway.configure(1);
        const auto caller = m_gateway.call("/once/", "1");
        raw_socket engine = m_gateway.acceptAt(listener);
        m_gateway.requestAt(engine);
        engine.send(response("200 OK", "Id: 0\r\nSigned: s0\r\n", "old"));
        CPPUNIT_ASSERT(m_gateway.isWaitingForResponse(*caller));
        engine.send(response("200 OK", "Id: 1\r\nSigned: s1\r\n", "mine"));
        CPPUNIT_ASSERT(m_gateway.responseOf(*caller).ends_with("mine"));
    }

    // Guards against running a booking twice, and against reporting "not run" if it may have run.
    void nonIdempotentRequestIsNotRetriedAfterReset()
    {
        listening_socket &first = m_gateway.addEngine("e1");
        listening_socket &second = m_gateway.addEngine("e2");
        m_gateway.configure(1);
        const auto caller = m_gateway.call("/once/", "1");
        m_gateway.waitFor("connection", [&] { return first.pending() || second.pending(); });
        {
            raw_socket engine = m_gateway.acceptAt(first.pending() ? first : second);
            m_gateway.requestAt(engine);
        }
        CPPUNIT_ASSERT(m_gateway.responseOf(*caller).starts_with("HTTP/1.1 502 "));
        CPPUNIT_ASSERT(!first.pending() && !second.pending());
    }

    // Guards against a refusal although another engine has free capacity.
    void nonIdempotentRequestIsRetriedIfItDidNotRun()
    {
        listening_socket &first = m_gateway.addEngine("e1");
        listening_socket &second = m_gateway.addEngine("e2");
        m_gateway.configure(1);
        const auto caller = m_gateway.call("/once/", "1");
        m_gateway.waitFor("connection", [&] { return first.pending() || second.pending(); });
        const bool atFirst = first.pending();
        raw_socket engine = m_gateway.acceptAt(atFirst ? first : second);
        m_gateway.requestAt(engine);
        engine.send(response("503 Service Unavailable", "Not-Run: 1\r\n", ""));
        raw_socket other = m_gateway.acceptAt(atFirst ? second : first);
        m_gateway.requestAt(other);
        other.send(response("200 OK", "Id: 1\r\nSigned: s\r\n", "booked"));
        CPPUNIT_ASSERT(m_gateway.responseOf(*caller).ends_with("booked"));
    }

    // Guards against returning a failure to the caller although a retry is allowed.
    void idempotentRequestIsRetriedAfterFailure()
    {
        listening_socket &first = m_gateway.addEngine("e1");
        listening_socket &second = m_gateway.addEngine("e2");
        m_gateway.configure(1);
        const auto caller = m_gateway.call("/plain/", "1");
        m_gateway.waitFor("connection", [&] { return first.pending() || second.pending(); });
        const bool atFirst = first.pending();
        raw_socket engine = m_gateway.acceptAt(atFirst ? first : second);
        m_gateway.requestAt(engine);
        engine.send(response("500 Internal Server Error", "Id: 1\r\nSigned: s1\r\n", "failed"));
        raw_socket other = m_gateway.acceptAt(atFirst ? second : first);
        m_gateway.requestAt(other);
        other.send(response("200 OK", "Id: 1\r\nSigned: s2\r\n", "fine"));
        const std::string received = m_gateway.responseOf(*caller);
        CPPUNIT_ASSERT(received.starts_with("HTTP/1.1 200 ") && received.ends_with("fine"));
        CPPUNIT_ASSERT(!contains(received, "s1"));
    }

    // Guards against more attempts than the route allows, and against hiding an engine's failure.
    void engineFailureIsForwardedWhenNoAttemptIsLeft()
    {
        listening_socket &listener = m_gateway.addEngine("e1");
        m_gateway.configure(1);
        const auto caller = m_gateway.call("/once/", "1");
        raw_socket engine = m_gateway.acceptAt(listener);
        m_gateway.requestAt(engine);
        engine.send(response("500 Internal Server Error", "Id: 1\r\nSigned: s1\r\n", "failed"));
        const std::string received = m_gateway.responseOf(*caller);
        CPPUNIT_ASSERT(received.starts_with("HTTP/1.1 500 ")
                       && contains(received, "Signed: s1\r\n"));
    }

    // Guards against forwarding a truncated response as if it were complete.
    void truncatedResponseIsNeverForwarded()
    {
        listening_socket &listener = m_gateway.addEngine("e1");
        m_gateway.configure(1);
        const auto caller = m_gateway.call("/once/", "1");
        {
            raw_socket engine = m_gateway.acceptAt(listener);
            m_gateway.requestAt(engine);
            engine.send("HTTP/1.1 200 OK\r\nId: 1\r\nSigned: s\r\nContent-Length: 9\r\n\r\nhalf");
        }
        CPPUNIT_ASSERT(m_gateway.responseOf(*caller).starts_with("HTTP/1.1 502 "));
    }

    // Guards against lost, duplicate or truncated events when an engine crashes during a stream.
    void streamResumesAtAnotherEngine()
    {
        listening_socket &first = m_gateway.addEngine("e1");
        listening_socket &second = m_gateway.addEngine("e2");
        m_gateway.configure(1);
        const auto caller = m_gateway.call("/stream/", "1");
        m_gateway.waitFor("connection", [&] { return first.pending() || second.pending(); });
        const bool atFirst = first.pending();
        {
            raw_socket engine = m_gateway.acceptAt(atFirst ? first : second);
            m_gateway.requestAt(engine);
            engine.send(streamHead("1") + chunk("id: 1\ndata: a\n\n")
                        + chunk("id: 2\ndata: b\n\nid: 3\ndata: ha"));
            m_gateway.waitFor("events",
                              [&] { return contains(caller->receive(), "id: 2\ndata: b\n\n"); });
        }
        raw_socket other = m_gateway.acceptAt(atFirst ? second : first);
        CPPUNIT_ASSERT(contains(m_gateway.requestAt(other), "Resume: 2\r\n"));
        other.send(streamHead("1") + chunk("id: 3\ndata: c\n\n") + "0\r\n\r\n");
        m_gateway.waitFor("end", [&] { return caller->receive().ends_with("0\r\n\r\n"); });
        const std::string &received = caller->receive();
        CPPUNIT_ASSERT(!contains(received, "ha\r\n"));
        CPPUNIT_ASSERT(contains(received, "id: 3\ndata: c\n\n"));
        CPPUNIT_ASSERT_EQUAL(received.find("HTTP/1.1"), received.rfind("HTTP/1.1"));
    }

    // Guards against a gap or duplicate events where a stream is resumed.
    void streamIsNotResumedAtWrongEvent()
    {
        listening_socket &first = m_gateway.addEngine("e1");
        listening_socket &second = m_gateway.addEngine("e2");
        m_gateway.configure(1);
        const auto caller = m_gateway.call("/stream/", "1");
        m_gateway.waitFor("connection", [&] { return first.pending() || second.pending(); });
        const bool atFirst = first.pending();
        {
            raw_socket engine = m_gateway.acceptAt(atFirst ? first : second);
            m_gateway.requestAt(engine);
            engine.send(streamHead("1") + chunk("id: 1\ndata: a\n\n"));
            m_gateway.waitFor("event", [&] { return contains(caller->receive(), "id: 1\n"); });
        }
        raw_socket other = m_gateway.acceptAt(atFirst ? second : first);
        m_gateway.requestAt(other);
        other.send(streamHead("1") + chunk("id: 3\ndata: c\n\n") + "0\r\n\r\n");
        m_gateway.waitFor("end", [&] {
            caller->receive();
            return caller->ended();
        });
        CPPUNIT_ASSERT(!contains(caller->receive(), "id: 3"));
        CPPUNIT_ASSERT(!caller->receive().ends_with("0\r\n\r\n"));
    }

    // Guards against a gateway metric that is never recorded.
    void everyGatewayMetricIsRecorded()
    {
        gateway_fixture gateway(8s, {.coordinateFromObjective = 1ms});
        listening_socket &listener = gateway.addEngine("e1");
        gateway.configure(1);
        const auto answered = gateway.call("/once/", "1");
        raw_socket engine = gateway.acceptAt(listener);
        gateway.requestAt(engine);
        engine.send(response("200 OK", "Id: 1\r\nSigned: s\r\n", "fine"));
        gateway.responseOf(*answered);
        const auto failed = gateway.call("/once/", "2", "Wait-Ms: 3000\r\n");
        gateway.waitFor("second request", [&] { return contains(engine.receive(), "Id: 2\r\n"); });
        engine.close();
        gateway.responseOf(*failed);
        const auto streamed = gateway.call("/fragile/", "3", "Prompt-Tokens: 10\r\n");
        raw_socket second = gateway.acceptAt(listener);
        gateway.requestAt(second);
        gateway.node.node->refreshMetrics();
        CPPUNIT_ASSERT_EQUAL(
            10.0, gateway.node.metrics.value(observe::metric::GatewayPendingPromptTokens, {}));
        second.send(streamHead("3") + chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n");
        gateway.responseOf(*streamed);
        gateway.node.node->refreshMetrics();
        CPPUNIT_ASSERT_EQUAL(
            0.0, gateway.node.metrics.value(observe::metric::GatewayPendingPromptTokens, {}));
        // On a kept connection, the next request might have run.
        second.close();
        gateway.loop.runFor(100ms);
        gateway.stopEngine(listener);
        const auto refused = gateway.call("/once/", "4");
        CPPUNIT_ASSERT(contains(gateway.responseOf(*refused), " 503 "));
        gateway.node.node->refreshMetrics();
        std::ostringstream text;
        gateway.node.metrics.writeText(text, std::chrono::system_clock::now());
        std::size_t checked = 0;
        for (const observe::metric_info &info : observe::describeMetrics()) {
            const std::string name(info.name);
            if (!name.starts_with("comfreypass_gateway_"))
                continue;
            ++checked;
            const std::string first = info.type == observe::metric_type::Histogram
                                          ? "\n" + name + "_count{"
                                          : "\n" + name + (info.labelCount() > 0 ? "{" : " ");
            CPPUNIT_ASSERT_MESSAGE(name, contains(text.str(), first));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{22}, checked);
    }

    // Guards against running a non-resumable stream twice, and against ending it as if complete.
    void nonResumableStreamIsAbortedVisibly()
    {
        listening_socket &first = m_gateway.addEngine("e1");
        listening_socket &second = m_gateway.addEngine("e2");
        m_gateway.configure(1);
        const auto caller = m_gateway.call("/fragile/", "1");
        m_gateway.waitFor("connection", [&] { return first.pending() || second.pending(); });
        {
            raw_socket engine = m_gateway.acceptAt(first.pending() ? first : second);
            m_gateway.requestAt(engine);
            engine.send(streamHead("1") + chunk("id: 1\ndata: a\n\n"));
            m_gateway.waitFor("event", [&] { return contains(caller->receive(), "id: 1\n"); });
        }
        m_gateway.waitFor("end", [&] {
            caller->receive();
            return caller->ended();
        });
        CPPUNIT_ASSERT(!caller->receive().ends_with("0\r\n\r\n"));
        CPPUNIT_ASSERT(!first.pending() && !second.pending());
    }

    // Guards against an engine that keeps running a request whose caller has disconnected.
    void disconnectedCallerReleasesEngine()
    {
        listening_socket &listener = m_gateway.addEngine("e1");
        m_gateway.configure(1);
        auto caller = m_gateway.call("/stream/", "1");
        raw_socket engine = m_gateway.acceptAt(listener);
        m_gateway.requestAt(engine);
        caller->close();
        m_gateway.waitFor("release", [&] {
            engine.receive();
            return engine.ended();
        });
    }

    // Guards against queued requests that never start.
    void queuedRequestStartsWhenASlotIsFreed()
    {
        listening_socket &listener = m_gateway.addEngine("e1", 1);
        m_gateway.configure(1);
        const auto first = m_gateway.call("/once/", "1");
        raw_socket engine = m_gateway.acceptAt(listener);
        m_gateway.requestAt(engine);
        const auto second = m_gateway.call("/once/", "2");
        CPPUNIT_ASSERT(m_gateway.isWaitingForResponse(*second));
        CPPUNIT_ASSERT(!listener.pending());
        engine.send(response("200 OK", "Id: 1\r\nSigned: s\r\n", "one"));
        m_gateway.waitFor("second request",
                          [&] { return contains(engine.receive(), "Id: 2\r\n"); });
        engine.send(response("200 OK", "Id: 2\r\nSigned: s\r\n", "two"));
        CPPUNIT_ASSERT(m_gateway.responseOf(*second).ends_with("two"));
        CPPUNIT_ASSERT(m_gateway.responseOf(*first).ends_with("one"));
    }

    // Guards against starting a queued request whose caller has disconnected.
    void disconnectedCallerIsRemovedFromQueue()
    {
        listening_socket &listener = m_gateway.addEngine("e1", 1);
        m_gateway.configure(1);
        const auto first = m_gateway.call("/once/", "1");
        raw_socket engine = m_gateway.acceptAt(listener);
        m_gateway.requestAt(engine);
        auto second = m_gateway.call("/once/", "2");
        CPPUNIT_ASSERT(m_gateway.isWaitingForResponse(*second));
        second->close();
        CPPUNIT_ASSERT(m_gateway.isWaitingForResponse(*first));
        engine.send(response("200 OK", "Id: 1\r\nSigned: s\r\n", "one"));
        m_gateway.responseOf(*first);
        CPPUNIT_ASSERT(!contains(engine.receive(), "Id: 2\r\n"));
    }

    // Guards against running a request that was refused with 429.
    void requestOverQuotaIsRefusedAndNeverSent()
    {
        listening_socket &listener = m_gateway.addEngine("e1");
        m_gateway.configure(1, {limitedTeam()});
        const auto first = m_gateway.call("/once/", "1", "Key: k\r\nTokens: 5000\r\n");
        raw_socket engine = m_gateway.acceptAt(listener);
        m_gateway.requestAt(engine);
        const auto second = m_gateway.call("/once/", "2", "Key: k\r\nTokens: 1\r\n");
        const std::string received = m_gateway.responseOf(*second);
        CPPUNIT_ASSERT(received.starts_with("HTTP/1.1 429 "));
        CPPUNIT_ASSERT(contains(received, "Retry-After: "));
        CPPUNIT_ASSERT(!listener.pending());
    }

    // Guards against charging the quota for refused requests.
    void refusedRequestIsRefunded()
    {
        m_gateway.configure(1, {limitedTeam()});
        for (int i = 0; i < 3; ++i) {
            const auto caller
                = m_gateway.call("/once/", "1", "Key: k\r\nTokens: 5000\r\nWait-Ms: 50\r\n");
            CPPUNIT_ASSERT(m_gateway.responseOf(*caller).starts_with("HTTP/1.1 503 "));
        }
    }

    // Guards against a caller that waits for an engine that stopped without closing its connection.
    void retryableRequestIsRetriedWhenEngineStalls()
    {
        listening_socket &first = m_gateway.addEngine("e1");
        listening_socket &second = m_gateway.addEngine("e2");
        m_gateway.configure(1);
        const auto caller = m_gateway.call("/plain/", "1");
        m_gateway.waitFor("connection", [&] { return first.pending() || second.pending(); });
        const bool atFirst = first.pending();
        raw_socket stalled = m_gateway.acceptAt(atFirst ? first : second);
        m_gateway.requestAt(stalled);
        listening_socket &otherListener = atFirst ? second : first;
        m_gateway.waitFor("second attempt", [&] { return otherListener.pending(); });
        raw_socket other = m_gateway.acceptAt(otherListener);
        m_gateway.requestAt(other);
        stalled.receive();
        CPPUNIT_ASSERT(stalled.ended());
        other.send(response("200 OK", "Id: 1\r\nSigned: s\r\n", "fine"));
        CPPUNIT_ASSERT(m_gateway.responseOf(*caller).ends_with("fine"));
    }

    // Guards against abandoning a slow engine although no other engine has free capacity.
    void requestStaysAtSlowEngineWithoutAlternative()
    {
        listening_socket &listener = m_gateway.addEngine("e1");
        m_gateway.configure(1);
        const auto caller = m_gateway.call("/plain/", "1");
        raw_socket engine = m_gateway.acceptAt(listener);
        m_gateway.requestAt(engine);
        m_gateway.loop.runFor(700ms);
        engine.receive();
        CPPUNIT_ASSERT(!engine.ended());
        engine.send(response("200 OK", "Id: 1\r\nSigned: s\r\n", "slow"));
        CPPUNIT_ASSERT(m_gateway.responseOf(*caller).ends_with("slow"));
    }

    // Guards against a refusal while healthy engines have free capacity but stopped engines are
    // still listed.
    void unreachableEnginesAreSkipped()
    {
        for (int i = 0; i < 6; ++i) {
            std::uint16_t port = 0;
            {
                const listening_socket closed;
                port = closed.port();
            }
            const std::string id = "dead" + std::to_string(i);
            m_gateway.node.write(
                gateway::collection_id::Engines, "engine/" + id, ++m_gateway.revision,
                dispatch::engine_entry{.id = id,
                                       .upstream = "u",
                                       .address = "127.0.0.1:" + std::to_string(port),
                                       .domain = "d1",
                                       .slots = 4});
        }
        listening_socket &listener = m_gateway.addEngine("e1");
        m_gateway.configure(1);
        const auto caller = m_gateway.call("/once/", "1");
        raw_socket engine = m_gateway.acceptAt(listener);
        m_gateway.requestAt(engine);
        engine.send(response("200 OK", "Id: 1\r\nSigned: s\r\n", "found"));
        CPPUNIT_ASSERT(m_gateway.responseOf(*caller).ends_with("found"));
    }

    // Guards against reporting "not run" for a request that an engine may still be running.
    void deadlineEndsRequestThatMayHaveRun()
    {
        listening_socket &listener = m_gateway.addEngine("e1");
        m_gateway.configure(1);
        const auto caller = m_gateway.call("/once/", "1", "Wait-Ms: 100\r\n");
        raw_socket engine = m_gateway.acceptAt(listener);
        m_gateway.requestAt(engine);
        CPPUNIT_ASSERT(m_gateway.responseOf(*caller).starts_with("HTTP/1.1 504 "));
    }

    // Guards against new requests to a failure domain that operators have evacuated.
    void evacuatedDomainReceivesNoRequests()
    {
        listening_socket &listener = m_gateway.addEngine("e1");
        m_gateway.configure(1);
        m_gateway.node.write(gateway::collection_id::Operators, "out/d1", ++m_gateway.revision,
                             gateway::evacuated_domain{"d1"});
        const auto caller = m_gateway.call("/once/", "1", "Wait-Ms: 50\r\n");
        CPPUNIT_ASSERT(m_gateway.responseOf(*caller).starts_with("HTTP/1.1 503 "));
        CPPUNIT_ASSERT(!listener.pending());
        m_gateway.node.events().onRemoved(gateway::collection_id::Operators, "out/d1",
                                          ++m_gateway.revision);
        const auto later = m_gateway.call("/once/", "2");
        m_gateway.waitFor("connection", [&] { return listener.pending(); });
    }

    // Guards against a graceful shutdown that aborts running requests.
    void leavingNodeDrainsRequests()
    {
        listening_socket &listener = m_gateway.addEngine("e1");
        m_gateway.configure(1);
        const auto caller = m_gateway.call("/once/", "1");
        raw_socket engine = m_gateway.acceptAt(listener);
        m_gateway.requestAt(engine);
        m_gateway.node.node->leave();
        CPPUNIT_ASSERT(!m_gateway.node.node->ready());
        CPPUNIT_ASSERT(!m_gateway.node.node->hasLeft());
        const auto secondCaller = m_gateway.call("/once/", "2");
        m_gateway.waitFor("request after the order", [&] { return listener.pending(); });
        engine.send(response("200 OK", "Id: 1\r\nSigned: s\r\n", "done"));
        const std::string received = m_gateway.responseOf(*caller);
        CPPUNIT_ASSERT(received.ends_with("done"));
        CPPUNIT_ASSERT(contains(received, "Connection: close\r\n"));
    }

    // Guards against starting a request that the end of the process would abort.
    void lateRequestAtLeavingNodeIsRefused()
    {
        listening_socket &listener = m_gateway.addEngine("e1");
        m_gateway.configure(1);
        m_gateway.node.node->leave();
        m_gateway.loop.runFor(2'600ms);
        const auto caller = m_gateway.call("/once/", "1");
        CPPUNIT_ASSERT(m_gateway.responseOf(*caller).starts_with("HTTP/1.1 503 "));
        CPPUNIT_ASSERT(!listener.pending());
    }

    // Guards against requests with the same segment that crash one engine after the other, and
    // against refusing requests that only share another segment with them.
    void requestsThatCrashEnginesAreRefused()
    {
        m_gateway.configure(1);
        for (int i = 1; i <= 4; ++i) {
            const std::string id = "e" + std::to_string(i);
            listening_socket &listener = m_gateway.addEngine(id);
            const auto caller = m_gateway.call("/fragile/x" + id, "1", "Segments: 7 9\r\n");
            raw_socket engine = m_gateway.acceptAt(listener);
            m_gateway.requestAt(engine);
            m_gateway.stopEngine(listener);
            engine.close();
            CPPUNIT_ASSERT(m_gateway.responseOf(*caller).starts_with("HTTP/1.1 502 "));
            const auto next = m_gateway.call("/fragile/x", "2");
            CPPUNIT_ASSERT(m_gateway.responseOf(*next).starts_with("HTTP/1.1 503 "));
            m_gateway.node.events().onRemoved(gateway::collection_id::Engines, "engine/" + id,
                                              ++m_gateway.revision);
            m_gateway.loop.runFor(150ms);
        }
        listening_socket &listener = m_gateway.addEngine("e5");
        const auto refused = m_gateway.call("/fragile/x", "3", "Segments: 7 9\r\n");
        const std::string refusal = m_gateway.responseOf(*refused);
        CPPUNIT_ASSERT(refusal.starts_with("HTTP/1.1 503 "));
        CPPUNIT_ASSERT(contains(refusal, "quarantined_prompt"));
        CPPUNIT_ASSERT(contains(refusal, "Retry-After: 1"));
        CPPUNIT_ASSERT(!listener.pending());
        const auto served = m_gateway.call("/fragile/x", "4", "Segments: 7 8\r\n");
        raw_socket engine = m_gateway.acceptAt(listener);
        m_gateway.requestAt(engine);
        engine.send(response("200 OK", "Id: 4\r\nSigned: s\r\n", "served"));
        CPPUNIT_ASSERT(m_gateway.responseOf(*served).ends_with("served"));
    }

    // Guards against one request, of a kind without a prompt, that is sent again after each crash.
    void repeatedRequestThatCrashesEnginesIsRefused()
    {
        m_gateway.configure(1);
        for (int i = 1; i <= 3; ++i) {
            const std::string id = "e" + std::to_string(i);
            listening_socket &listener = m_gateway.addEngine(id);
            const auto caller = m_gateway.call("/once/x", std::to_string(2 * i));
            raw_socket engine = m_gateway.acceptAt(listener);
            m_gateway.requestAt(engine);
            m_gateway.stopEngine(listener);
            engine.close();
            CPPUNIT_ASSERT(m_gateway.responseOf(*caller).starts_with("HTTP/1.1 502 "));
            const auto next = m_gateway.call("/once/y", std::to_string(2 * i + 1));
            CPPUNIT_ASSERT(m_gateway.responseOf(*next).starts_with("HTTP/1.1 503 "));
            m_gateway.node.events().onRemoved(gateway::collection_id::Engines, "engine/" + id,
                                              ++m_gateway.revision);
            m_gateway.loop.runFor(150ms);
        }
        listening_socket &listener = m_gateway.addEngine("e4");
        const auto refused = m_gateway.call("/once/x", "8");
        const std::string refusal = m_gateway.responseOf(*refused);
        CPPUNIT_ASSERT(refusal.starts_with("HTTP/1.1 503 "));
        CPPUNIT_ASSERT(contains(refusal, "quarantined_request"));
        CPPUNIT_ASSERT(!listener.pending());
        const auto served = m_gateway.call("/once/y", "9");
        raw_socket engine = m_gateway.acceptAt(listener);
        m_gateway.requestAt(engine);
        engine.send(response("200 OK", "Id: 9\r\nSigned: s\r\n", "served"));
        CPPUNIT_ASSERT(m_gateway.responseOf(*served).ends_with("served"));
    }

    // Guards against crashes that nobody notices because no other request finds the engine down.
    void requestsThatCrashEnginesInAQuietHourAreRefused()
    {
        m_gateway.configure(1);
        for (int i = 1; i <= 4; ++i)
            crashEngine("e" + std::to_string(i), "/fragile/x" + std::to_string(i),
                        "Segments: 7 9\r\n");
        listening_socket &listener = m_gateway.addEngine("e5");
        const auto refused = m_gateway.call("/fragile/x", "5", "Segments: 7 9\r\n");
        CPPUNIT_ASSERT(contains(m_gateway.responseOf(*refused), "quarantined_prompt"));
        CPPUNIT_ASSERT(!listener.pending());
    }

    // Guards against the same for one request that is sent again and again.
    void repeatedRequestThatCrashesEnginesInAQuietHourIsRefused()
    {
        m_gateway.configure(1);
        for (int i = 1; i <= 3; ++i)
            crashEngine("e" + std::to_string(i), "/once/x", "");
        listening_socket &listener = m_gateway.addEngine("e4");
        const auto refused = m_gateway.call("/once/x", "4");
        CPPUNIT_ASSERT(contains(m_gateway.responseOf(*refused), "quarantined_request"));
        CPPUNIT_ASSERT(!listener.pending());
    }

    // Guards against refusing sound requests whose responses were lost while the engine went on.
    void lostResponsesOfARunningEngineAreNotTakenForCrashes()
    {
        m_gateway.configure(1);
        listening_socket &listener = m_gateway.addEngine("e1");
        for (int i = 1; i <= 6; ++i) {
            const auto caller = m_gateway.call("/once/x", std::to_string(i));
            raw_socket engine = m_gateway.acceptAt(listener);
            m_gateway.requestAt(engine);
            engine.close();
            CPPUNIT_ASSERT(m_gateway.responseOf(*caller).starts_with("HTTP/1.1 502 "));
            // The connection that proves that the engine runs serves the next request.
            m_gateway.waitFor("probe", [&] { return listener.pending(); });
            m_gateway.loop.runFor(50ms);
            if (i == 6)
                continue;
            const auto next = m_gateway.call("/once/y", std::to_string(10 + i));
            raw_socket probed = m_gateway.acceptAt(listener);
            m_gateway.requestAt(probed);
            probed.send(response("200 OK",
                                 "Id: " + std::to_string(10 + i)
                                     + "\r\nSigned: s\r\n"
                                       "Connection: close\r\n",
                                 "served"));
            CPPUNIT_ASSERT(m_gateway.responseOf(*next).ends_with("served"));
        }
        const auto caller = m_gateway.call("/once/x", "7");
        raw_socket engine = m_gateway.acceptAt(listener);
        CPPUNIT_ASSERT(m_gateway.requestAt(engine).starts_with("POST /once/x"));
    }

    // Guards against refusing the requests that share the segment behind a deadly one, in a quiet
    // hour in which none of them is answered between the crashes.
    void soundRequestsBesideADeadlySegmentBeforeAnotherAreServed()
    {
        m_gateway.configure(1);
        for (int i = 1; i <= 4; ++i)
            crashEngine("e" + std::to_string(i), "/fragile/x" + std::to_string(i),
                        "Segments: 7 9 8\r\n");
        listening_socket &listener = m_gateway.addEngine("e5");
        const auto refused = m_gateway.call("/fragile/x", "5", "Segments: 7 9 8\r\n");
        CPPUNIT_ASSERT(contains(m_gateway.responseOf(*refused), "quarantined_prompt"));
        serve(listener, "6", "Segments: 7 8\r\n", streamOfTwoEvents("6"));
        const auto alone = m_gateway.call("/fragile/x", "7", "Segments: 9\r\n");
        CPPUNIT_ASSERT(contains(m_gateway.responseOf(*alone), "quarantined_prompt"));
    }

    // Guards against segments that no answer clears since each is a stream of one event that ends
    // with its connection.
    void shortStreamsWithoutALengthClearTheirSegments()
    {
        m_gateway.configure(1);
        for (int i = 1; i <= 4; ++i)
            crashEngine("e" + std::to_string(i), "/fragile/x" + std::to_string(i),
                        "Segments: 7 9\r\n");
        listening_socket &listener = m_gateway.addEngine("e5");
        serve(listener, "5", "Segments: 7\r\n", unframedStreamHead("5") + "id: 1\ndata: a\n\n");
        m_gateway.waitFor("probe", [&] { return listener.pending(); });
        m_gateway.loop.runFor(50ms);
        const auto alone = m_gateway.call("/fragile/x", "6", "Segments: 9\r\n");
        CPPUNIT_ASSERT(contains(m_gateway.responseOf(*alone), "quarantined_prompt"));
    }

    // Guards against refusing equal requests whose answers have no length, after three crashes of
    // engines by themselves.
    void responsesWithoutALengthClearTheirRequest()
    {
        m_gateway.configure(1);
        for (int i = 1; i <= 3; ++i) {
            crashEngine("e" + std::to_string(2 * i), "/once/x", "");
            const std::string id = "e" + std::to_string(2 * i + 1);
            listening_socket &listener = m_gateway.addEngine(id);
            const auto caller = m_gateway.call("/once/x", id.substr(1));
            raw_socket engine = m_gateway.acceptAt(listener);
            m_gateway.requestAt(engine);
            engine.send("HTTP/1.1 200 OK\r\nId: " + id.substr(1) + "\r\nSigned: s\r\n\r\nbody");
            engine.close();
            CPPUNIT_ASSERT(m_gateway.responseOf(*caller).ends_with("body"));
            m_gateway.waitFor("probe", [&] { return listener.pending(); });
            m_gateway.loop.runFor(50ms);
            m_gateway.node.events().onRemoved(gateway::collection_id::Engines, "engine/" + id,
                                              ++m_gateway.revision);
        }
    }

    // Guards against taking the end of a crashed engine's connection for that of its answer.
    void shortStreamsOfCrashedEnginesClearNothing()
    {
        m_gateway.configure(1);
        for (int i = 1; i <= 4; ++i) {
            const std::string id = std::to_string(i);
            listening_socket &listener = m_gateway.addEngine("e" + id);
            const auto caller = m_gateway.call("/fragile/x" + id, id, "Segments: 9\r\n");
            raw_socket engine = m_gateway.acceptAt(listener);
            m_gateway.requestAt(engine);
            m_gateway.stopEngine(listener);
            engine.send(unframedStreamHead(id) + "id: 1\ndata: a\n\n");
            engine.close();
            m_gateway.loop.runFor(400ms);
            m_gateway.node.events().onRemoved(gateway::collection_id::Engines, "engine/e" + id,
                                              ++m_gateway.revision);
        }
        m_gateway.addEngine("e5");
        const auto refused = m_gateway.call("/fragile/x", "5", "Segments: 9\r\n");
        CPPUNIT_ASSERT(contains(m_gateway.responseOf(*refused), "quarantined_prompt"));
    }

    // Guards against passing on a stream as complete whose engine ended in the middle of an event,
    // or before the first one, and whose length is not known.
    void streamThatEndsInsideAnEventIsBrokenOff()
    {
        listening_socket &listener = m_gateway.addEngine("e1");
        m_gateway.configure(1);
        for (const std::string sent : {"id: 1\ndata: a\n\nid: 2\nda", ""}) {
            const auto caller = m_gateway.call("/fragile/", "1");
            raw_socket engine = m_gateway.acceptAt(listener);
            m_gateway.requestAt(engine);
            engine.send(unframedStreamHead("1") + sent);
            engine.close();
            m_gateway.waitFor(
                "end", [&] { return contains(caller->receive(), "502") || caller->ended(); });
            CPPUNIT_ASSERT(!contains(caller->receive(), "id: 2"));
            CPPUNIT_ASSERT(!caller->receive().ends_with("0\r\n\r\n"));
        }
    }

    // Guards against breaking off a complete stream that has neither a length nor chunks.
    void streamThatEndsWithItsConnectionIsComplete()
    {
        listening_socket &listener = m_gateway.addEngine("e1");
        m_gateway.configure(1);
        const auto caller = m_gateway.call("/fragile/", "1");
        raw_socket engine = m_gateway.acceptAt(listener);
        m_gateway.requestAt(engine);
        engine.send(unframedStreamHead("1") + "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        engine.close();
        m_gateway.waitFor("end", [&] { return caller->receive().ends_with("0\r\n\r\n"); });
        CPPUNIT_ASSERT(contains(caller->receive(), "id: 2\ndata: b\n\n"));
    }

private:
    static dispatch::team limitedTeam()
    {
        return {.name = "t",
                .keys = {"k"},
                .priority = {},
                .quota = dispatch::team_quota{.countsTokens = true,
                                              .unitsPerSecond = 100,
                                              .burstUnits = 100,
                                              .defaultUnits = 10}};
    }

    /** Lets a request crash the only engine, which then leaves the list. No other request is sent.
     */
    void crashEngine(const std::string &id, const std::string &path, const std::string &fields)
    {
        listening_socket &listener = m_gateway.addEngine(id);
        const auto caller = m_gateway.call(path, id.substr(1), fields);
        raw_socket engine = m_gateway.acceptAt(listener);
        m_gateway.requestAt(engine);
        m_gateway.stopEngine(listener);
        engine.close();
        CPPUNIT_ASSERT(m_gateway.responseOf(*caller).starts_with("HTTP/1.1 502 "));
        m_gateway.loop.runFor(400ms);
        m_gateway.node.events().onRemoved(gateway::collection_id::Engines, "engine/" + id,
                                          ++m_gateway.revision);
    }

    static std::string streamOfTwoEvents(const std::string &id)
    {
        return unframedStreamHead(id) + "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    }

    /** Lets an engine answer a request with a stream that ends with its connection. */
    void serve(listening_socket &listener, const std::string &id, const std::string &fields,
               const std::string &stream)
    {
        const auto caller = m_gateway.call("/fragile/x", id, fields);
        raw_socket engine = m_gateway.acceptAt(listener);
        m_gateway.requestAt(engine);
        engine.send(stream);
        engine.close();
        m_gateway.waitFor("end", [&] { return caller->receive().ends_with("0\r\n\r\n"); });
    }

    gateway_fixture m_gateway;
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_flow_test);
