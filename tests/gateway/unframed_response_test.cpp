#include "gateway/gateway_fixture.h"
#include "gateway/received_response.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

using namespace comfreypass;
using namespace comfreypass::tests;

namespace {

using end_function = void (raw_socket::*)();

constexpr end_function closed = &raw_socket::close;
constexpr end_function reset = &raw_socket::reset;

/** Larger than any body that the node buffers. */
constexpr std::size_t relayedBytes = 300'000;

const std::string signedFields = "Id: 1\r\nSigned: s\r\n";
const std::string eventField = "Content-Type: text/event-stream\r\n";
const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";

/** Heads of responses that have neither a length nor chunks. */
std::vector<std::string> unframedHeads(const std::string &fields)
{
    const std::string rest = signedFields + fields;
    return {
        "HTTP/1.1 200 OK\r\n" + rest + "Connection: close\r\n\r\n",
        "HTTP/1.1 200 OK\r\n" + rest + "\r\n",
        "HTTP/1.1 200 OK\r\n" + rest + "Connection: keep-alive\r\nKeep-Alive: timeout=5\r\n\r\n",
        "HTTP/1.0 200 OK\r\n" + rest + "\r\n",
        "HTTP/1.0 200 OK\r\n" + rest + "Connection: keep-alive\r\n\r\n",
        interim + "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + rest + "\r\n",
    };
}

/** A stream whose events end at the given offsets. */
struct event_stream
{
    std::string bytes;
    std::vector<std::size_t> ends;

    bool endsAnEvent(std::size_t offset) const
    {
        return std::ranges::find(ends, offset) != ends.end();
    }

    std::string_view eventsBefore(std::size_t offset) const
    {
        std::size_t end = 0;
        for (const std::size_t each : ends)
            end = each <= offset ? each : end;
        return std::string_view(bytes).substr(0, end);
    }
};

event_stream streamOf(const std::vector<std::string> &events)
{
    event_stream stream;
    for (const std::string &each : events) {
        stream.bytes += each;
        stream.ends.push_back(stream.bytes.size());
    }
    return stream;
}

std::vector<event_stream> eventStreams()
{
    return {
        streamOf({"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"}),
        streamOf({"id: 1\r\ndata: a\r\n\r\n", "id: 2\r\ndata: b\r\n\r\n"}),
        streamOf({"id: 1\r\ndata: a\n\r\n", "id: 2\ndata: b\r\n\n"}),
    };
}

} // namespace

class unframed_response_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(unframed_response_test);
    CPPUNIT_TEST(truncatedHeadNeverLooksComplete);
    CPPUNIT_TEST(truncatedStreamNeverLooksComplete);
    CPPUNIT_TEST(streamThatIsResetNeverLooksComplete);
    CPPUNIT_TEST(truncatedStreamIsResumedWithoutGap);
    CPPUNIT_TEST(plainResponseThatIsResetNeverLooksComplete);
    CPPUNIT_TEST(plainResponseThatIsResetIsRepeated);
    CPPUNIT_TEST(wholeResponseIsForwardedInEachFraming);
    CPPUNIT_TEST(relayedBodyThatIsResetNeverLooksComplete);
    CPPUNIT_TEST(eventStreamOnPlainRouteNeverLooksCompleteInsideAnEvent);
    CPPUNIT_TEST(relayedEventStreamNeverLooksCompleteInsideAnEvent);
    CPPUNIT_TEST(connectionIsNeverReused);
    CPPUNIT_TEST(responseWithoutBodyByItsStatusIsForwarded);
    CPPUNIT_TEST(responseToHeadRequestIsForwarded);
    CPPUNIT_TEST(headRequestGetsNoBody);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a success made of a part of a response's head.
    void truncatedHeadNeverLooksComplete()
    {
        for (const std::string &head : unframedHeads(eventField)) {
            for (const std::string route : {"/once/", "/fragile/"}) {
                for (std::size_t cut = 0; cut <= head.size(); ++cut) {
                    checkIncomplete(receive(route, head.substr(0, cut), closed),
                                    route + " cut at " + std::to_string(cut) + " of " + head);
                }
            }
        }
    }

    // Guards against a clean end of a stream whose engine stopped inside an event, and against a
    // part of that event.
    void truncatedStreamNeverLooksComplete()
    {
        for (const std::string &head : unframedHeads(eventField)) {
            for (const event_stream &stream : eventStreams()) {
                for (std::size_t cut = 0; cut <= stream.bytes.size(); ++cut)
                    checkTruncatedStream(head, stream, cut);
            }
        }
    }

    // Guards against a clean end of a stream whose connection was reset, also after its last byte.
    void streamThatIsResetNeverLooksComplete()
    {
        for (const std::string &head : unframedHeads(eventField)) {
            const event_stream stream = eventStreams().front();
            const std::string bytes = head + stream.bytes;
            for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
                const received_response received
                    = receive("/fragile/", bytes.substr(0, cut), reset);
                checkIncomplete(received, "reset at " + std::to_string(cut) + " of " + bytes);
            }
        }
    }

    // Guards against a missing, repeated or partial event where another engine resumes a stream.
    void truncatedStreamIsResumedWithoutGap()
    {
        const std::string head = unframedHeads(eventField).front();
        for (const event_stream &stream : eventStreams()) {
            for (const end_function end : {closed, reset}) {
                for (std::size_t cut = 0; cut <= stream.bytes.size(); ++cut) {
                    if (end == closed && stream.endsAnEvent(cut))
                        continue;
                    checkResumed(head, stream, cut, end);
                }
            }
        }
    }

    // Guards against a part of a body whose end shows only in the end of its connection.
    void plainResponseThatIsResetNeverLooksComplete()
    {
        for (const std::string &head : unframedHeads("")) {
            const std::string bytes = head + "body";
            for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
                checkIncomplete(receive("/once/", bytes.substr(0, cut), reset),
                                "reset at " + std::to_string(cut) + " of " + bytes);
            }
        }
    }

    // Guards against a failure where the route allows another engine to repeat the request.
    void plainResponseThatIsResetIsRepeated()
    {
        const std::string bytes = unframedHeads("").front() + "body";
        for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
            gateway_fixture gateway;
            listening_socket &first = gateway.addEngine("e1");
            gateway.configure(1);
            const auto caller = gateway.call("/plain/", "1");
            listening_socket *second = nullptr;
            {
                raw_socket engine = gateway.acceptAt(first);
                gateway.requestAt(engine);
                second = &gateway.addEngine("e2");
                engine.send(std::string_view(bytes).substr(0, cut));
                engine.reset();
            }
            raw_socket engine = gateway.acceptAt(*second);
            gateway.requestAt(engine);
            engine.send(bytes);
            engine.close();
            const received_response received = finalResponse(gateway, *caller);
            CPPUNIT_ASSERT(received.complete && received.status == 200);
            CPPUNIT_ASSERT_EQUAL(std::string("body"), received.body);
        }
    }

    // Guards against breaking off a whole response, and against changing its body.
    void wholeResponseIsForwardedInEachFraming()
    {
        for (const std::string &head : unframedHeads("")) {
            const received_response received = receive("/once/", head + "body", closed);
            CPPUNIT_ASSERT_MESSAGE(head, received.complete && received.status == 200);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(head, std::string("body"), received.body);
        }
    }

    // Guards against a final chunk after a part of a body that is too large for the buffer.
    void relayedBodyThatIsResetNeverLooksComplete()
    {
        const std::string body(relayedBytes, 'a');
        for (const std::string &head : unframedHeads("")) {
            checkIncomplete(receive("/once/", head + body, reset), "reset after " + head);
            checkIncomplete(receive("/plain/", head + body, reset), "reset after " + head);
            const received_response whole = receive("/once/", head + body, closed);
            CPPUNIT_ASSERT_MESSAGE(head, whole.complete && whole.body == body);
        }
    }

    // Guards against a clean end of a stream inside an event on a route that declares no streams.
    void eventStreamOnPlainRouteNeverLooksCompleteInsideAnEvent()
    {
        const std::string head = unframedHeads(eventField).front();
        for (const event_stream &stream : eventStreams()) {
            for (std::size_t cut = 0; cut <= stream.bytes.size(); ++cut) {
                const received_response received
                    = receive("/once/", head + stream.bytes.substr(0, cut), closed);
                const std::string message = "cut at " + std::to_string(cut);
                if (!stream.endsAnEvent(cut)) {
                    checkIncomplete(received, message);
                    continue;
                }
                CPPUNIT_ASSERT_MESSAGE(message, received.complete && received.status == 200);
                CPPUNIT_ASSERT_EQUAL(stream.bytes.substr(0, cut), received.body);
            }
        }
    }

    // Guards against a final chunk inside an event of a stream that is too large for the buffer.
    void relayedEventStreamNeverLooksCompleteInsideAnEvent()
    {
        const std::string head = unframedHeads(eventField).front();
        const std::string whole = "data: " + std::string(relayedBytes, 'a') + "\n\ndata: b\r\n\r\n";
        constexpr std::size_t lastEventBytes = 11;
        const std::size_t firstEnd = whole.size() - lastEventBytes;
        for (std::size_t cut = firstEnd - 1; cut <= whole.size(); ++cut) {
            const received_response received
                = receive("/once/", head + whole.substr(0, cut), closed);
            const std::string message = "cut at " + std::to_string(cut);
            if (cut == firstEnd || cut == whole.size())
                CPPUNIT_ASSERT_MESSAGE(message, received.complete);
            else
                checkIncomplete(received, message);
        }
    }

    // Guards against a request on a connection whose end completes the response before it.
    void connectionIsNeverReused()
    {
        for (const std::string &head : unframedHeads("")) {
            gateway_fixture gateway;
            listening_socket &listener = gateway.addEngine("e1");
            gateway.configure(1);
            const auto first = gateway.call("/once/", "1");
            raw_socket engine = gateway.acceptAt(listener);
            gateway.requestAt(engine);
            engine.send(head + "body");
            // Only the engine's sending side ends, so the connection could still take a request.
            engine.closeSending();
            CPPUNIT_ASSERT(finalResponse(gateway, *first).complete);
            const std::size_t received = engine.receive().size();
            const auto second = gateway.call("/once/", "2");
            raw_socket other = gateway.acceptAt(listener);
            gateway.requestAt(other);
            CPPUNIT_ASSERT_EQUAL(received, engine.receive().size());
            CPPUNIT_ASSERT(engine.ended());
        }
    }

    // Guards against a failure for a response that has no body by its status.
    void responseWithoutBodyByItsStatusIsForwarded()
    {
        for (const std::string status :
             {"204 No Content", "205 Reset Content", "304 Not Modified"}) {
            for (const std::string &fields : {std::string(), eventField}) {
                for (const std::string route : {"/once/", "/fragile/"}) {
                    for (const end_function end : {closed, reset}) {
                        // A reset can overtake the end that marks a 205 response.
                        if (status.starts_with("205") && end == reset)
                            continue;
                        const std::string head
                            = "HTTP/1.1 " + status + "\r\n" + signedFields + fields + "\r\n";
                        const received_response received = receive(route, head, end);
                        CPPUNIT_ASSERT_MESSAGE(route + head, received.complete);
                        CPPUNIT_ASSERT_EQUAL_MESSAGE(route + head,
                                                     static_cast<unsigned>(std::stoul(status)),
                                                     received.status);
                        CPPUNIT_ASSERT_EQUAL(std::string(), received.body);
                    }
                }
            }
        }
    }

    // Guards against waiting for a body that a response to HEAD only describes.
    void responseToHeadRequestIsForwarded()
    {
        for (const std::string fields :
             {"Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n", "",
              "Connection: close\r\n", "Content-Type: text/event-stream\r\n"}) {
            for (const std::string route : {"/once/", "/fragile/"}) {
                gateway_fixture gateway;
                listening_socket &listener = gateway.addEngine("e1");
                gateway.configure(1);
                raw_socket caller(gateway.callerPort);
                sendHead(caller, route);
                raw_socket engine = gateway.acceptAt(listener);
                gateway.waitFor("request", [&] { return engine.receive().ends_with("\r\n\r\n"); });
                engine.send("HTTP/1.1 200 OK\r\n" + signedFields + fields + "\r\n");
                const std::string response = gateway.responseOf(caller);
                CPPUNIT_ASSERT_MESSAGE(fields + response,
                                       response.starts_with("HTTP/1.1 200 OK\r\n"));
                CPPUNIT_ASSERT_MESSAGE(response, response.ends_with("\r\n\r\n"));
                const bool hasLength = fields.starts_with("Content-Length");
                CPPUNIT_ASSERT_EQUAL_MESSAGE(response, hasLength,
                                             response.find("Content-Length: 4\r\n")
                                                 != std::string::npos);
                CPPUNIT_ASSERT_MESSAGE(
                    response, hasLength || response.find("Content-Length") == std::string::npos);
            }
        }
    }

    // Guards against a body after a response to HEAD, which a caller takes for the next response.
    void headRequestGetsNoBody()
    {
        gateway_fixture gateway;
        gateway.configure(1);
        for (const std::string route : {"/unknown/", "/once/"}) {
            raw_socket caller(gateway.callerPort);
            sendHead(caller, route);
            const std::string response = gateway.responseOf(caller);
            CPPUNIT_ASSERT_MESSAGE(response, response.starts_with("HTTP/1.1 "));
            CPPUNIT_ASSERT_MESSAGE(response, response.ends_with("\r\n\r\n"));
        }
    }

private:
    static void sendHead(raw_socket &caller, const std::string &route)
    {
        caller.send("HEAD " + route + " HTTP/1.1\r\nHost: a.example\r\nId: 1\r\n\r\n");
    }

    /** Checks that a caller sees a local failure or a response that visibly breaks off. */
    static void checkIncomplete(const received_response &received, const std::string &message)
    {
        const bool isLocalFailure = received.complete && received.status == 502;
        CPPUNIT_ASSERT_MESSAGE(message, isLocalFailure || !received.complete);
        CPPUNIT_ASSERT_MESSAGE(message, !received.malformed);
    }

    static void checkTruncatedStream(const std::string &head, const event_stream &stream,
                                     std::size_t cut)
    {
        const received_response received
            = receive("/fragile/", head + stream.bytes.substr(0, cut), closed);
        const std::string message
            = "cut at " + std::to_string(cut) + " of " + stream.bytes + " after " + head;
        const std::string events(stream.eventsBefore(cut));
        if (stream.endsAnEvent(cut))
            CPPUNIT_ASSERT_MESSAGE(message, received.complete && received.status == 200);
        else
            checkIncomplete(received, message);
        if (received.status == 200)
            CPPUNIT_ASSERT_EQUAL_MESSAGE(message, events, received.body);
        else
            CPPUNIT_ASSERT_MESSAGE(message, events.empty());
    }

    static void checkResumed(const std::string &head, const event_stream &stream, std::size_t cut,
                             end_function end)
    {
        gateway_fixture gateway;
        listening_socket &first = gateway.addEngine("e1");
        gateway.configure(1);
        const auto caller = gateway.call("/stream/", "1", "Wait-Ms: 700\r\n");
        const std::string events(stream.eventsBefore(cut));
        const auto eventCount
            = std::ranges::count_if(stream.ends, [cut](std::size_t each) { return each <= cut; });
        listening_socket *second = nullptr;
        {
            raw_socket engine = gateway.acceptAt(first);
            gateway.requestAt(engine);
            second = &gateway.addEngine("e2");
            engine.send(head + stream.bytes.substr(0, cut));
            gateway.waitFor("events", [&] {
                return received_response::parse(caller->receive()).body == events;
            });
            (engine.*end)();
        }
        raw_socket engine = gateway.acceptAt(*second);
        const std::string request = gateway.requestAt(engine);
        const std::string message = "cut at " + std::to_string(cut) + " of " + stream.bytes;
        const std::string field = "Resume: " + std::to_string(eventCount) + "\r\n";
        CPPUNIT_ASSERT_EQUAL_MESSAGE(message, eventCount > 0,
                                     request.find(field) != std::string::npos);
        const bool allSent = events.size() == stream.bytes.size();
        engine.send(head + stream.bytes.substr(events.size()));
        engine.close();
        const received_response received = finalResponse(gateway, *caller);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(message, stream.bytes, received.body);
        // A continuation without events does not show that the stream has ended.
        CPPUNIT_ASSERT_EQUAL_MESSAGE(message, !allSent, received.complete);
    }

    static received_response finalResponse(gateway_fixture &gateway, raw_socket &caller)
    {
        gateway.waitFor("end of the response", [&] {
            return received_response::parse(caller.receive()).complete || caller.ended();
        });
        return received_response::parse(caller.receive());
    }

    /** Returns what a caller gets from an engine that sends `bytes` and ends the connection. */
    static received_response receive(const std::string &route, std::string_view bytes,
                                     end_function end)
    {
        gateway_fixture gateway;
        listening_socket &listener = gateway.addEngine("e1");
        gateway.configure(1);
        const auto caller = gateway.call(route, "1");
        raw_socket engine = gateway.acceptAt(listener);
        gateway.requestAt(engine);
        gateway.waitFor("sent bytes", [&] {
            bytes.remove_prefix(bytes.empty() ? 0 : engine.send(bytes));
            caller->receive();
            return bytes.empty();
        });
        (engine.*end)();
        return finalResponse(gateway, *caller);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unframed_response_test);
