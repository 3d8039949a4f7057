#include "gateway/gateway_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>
#include <vector>

using namespace comfreypass;
using namespace comfreypass::tests;
using namespace std::chrono_literals;

namespace {

std::string response(const std::string &status, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + std::to_string(body.size())
           + "\r\n\r\n" + body;
}

std::string refusal(const std::string &id)
{
    const std::string idField = id.empty() ? "" : "Id: " + id + "\r\n";
    return response("503 Service Unavailable", idField + "Not-Run: 1\r\n", "busy");
}

const std::string answer = response("200 OK", "Id: 1\r\nSigned: s\r\n", "mine");
const std::string interim = "HTTP/1.1 103 Early Hints\r\nNot-Run: 1\r\n\r\n";

/** What an engine sends while it runs request 1, and the status that the caller receives. */
struct sent_bytes
{
    std::string name;
    std::string bytes;
    std::string status;
};

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

class response_attribution_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(response_attribution_test);
    CPPUNIT_TEST(repeatedRefusalOnReusedConnectionIsNoPromise);
    CPPUNIT_TEST(refusalWithoutIdAfterForeignResponseIsNoPromise);
    CPPUNIT_TEST(sameRequestNeverMeetsAConnectionTwice);
    CPPUNIT_TEST(requestWithoutIdUsesNewConnection);
    CPPUNIT_TEST(refusalSentTwiceIsCountedOnce);
    CPPUNIT_TEST(successMarkedAsNotRunIsNeither);
    CPPUNIT_TEST(statusWithoutMarkIsNoPromise);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against "not run" for a running request, and against running it at a second engine.
    void repeatedRefusalOnReusedConnectionIsNoPromise()
    {
        const std::vector<sent_bytes> cases = {
            {"refusal of an earlier request", refusal("0") + answer, "200"},
            {"two refusals of earlier requests", refusal("0") + refusal("x") + answer, "200"},
            {"only a refusal of an earlier request", refusal("0"), "502"},
            {"refusal without id", refusal(""), "502"},
            {"refusal without id before the answer", refusal("") + answer, "502"},
            {"rate limit without id", response("429 Too Many Requests", "Not-Run: 1\r\n", ""),
             "502"},
            {"misdirected without id", response("421 Misdirected Request", "", ""), "502"},
            {"refusal without id and length", "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n\r\n", "502"},
            {"success without id", response("200 OK", "Signed: s\r\n", "other"), "502"},
            {"interim response before a refusal without id", interim + refusal(""), "502"},
            {"interim response before the answer", interim + answer, "200"},
        };
        for (const sent_bytes &each : cases) {
            for (const bool byteByByte : {false, true})
                sendOnReusedConnection(each, byteByByte);
        }
    }

    // Guards against a promise that follows a response to another request on a new connection.
    void refusalWithoutIdAfterForeignResponseIsNoPromise()
    {
        gateway_fixture gateway;
        listening_socket &listener = gateway.addEngine("e1");
        gateway.configure(1);
        const auto caller = gateway.call("/once/", "1");
        raw_socket engine = gateway.acceptAt(listener);
        gateway.requestAt(engine);
        listening_socket &second = gateway.addEngine("e2");
        engine.send(refusal("0") + refusal(""));
        CPPUNIT_ASSERT(gateway.responseOf(*caller).starts_with("HTTP/1.1 502 "));
        CPPUNIT_ASSERT(!second.pending());
    }

    // Guards against a repeated refusal of a first attempt that is read as the one of the second.
    void sameRequestNeverMeetsAConnectionTwice()
    {
        gateway_fixture gateway;
        listening_socket &listener = gateway.addEngine("e1");
        gateway.configure(1);
        const auto caller = gateway.call("/once/", "1");
        raw_socket engine = gateway.acceptAt(listener);
        gateway.requestAt(engine);
        gateway.node.write(
            gateway::collection_id::Engines, "engine/e2", ++gateway.revision,
            dispatch::engine_entry{.id = "e2",
                                   .upstream = "u",
                                   .address = "127.0.0.1:" + std::to_string(listener.port()),
                                   .domain = "d1",
                                   .slots = 4});
        engine.send(refusal("1"));
        gateway.waitFor("second attempt", [&] {
            return listener.pending() || contains(engine.receive(), "Engine: e2\r\n");
        });
        engine.send(refusal("1"));
        CPPUNIT_ASSERT(gateway.isWaitingForResponse(*caller));
        raw_socket other = gateway.acceptAt(listener);
        CPPUNIT_ASSERT(contains(gateway.requestAt(other), "Engine: e2\r\n"));
        other.send(answer);
        CPPUNIT_ASSERT(gateway.responseOf(*caller).ends_with("mine"));
    }

    // Guards against attributing a response without id to a request without id.
    void requestWithoutIdUsesNewConnection()
    {
        gateway_fixture gateway;
        listening_socket &listener = gateway.addEngine("e1");
        gateway.configure(1);
        raw_socket used = serveFirstRequest(gateway, listener);
        raw_socket caller(gateway.callerPort);
        caller.send("POST /once/ HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n\r\nbody");
        raw_socket engine = gateway.acceptAt(listener);
        gateway.requestAt(engine);
        used.send(refusal(""));
        CPPUNIT_ASSERT(gateway.isWaitingForResponse(caller));
        engine.send(response("200 OK", "Signed: s\r\n", "fine"));
        CPPUNIT_ASSERT(gateway.responseOf(caller).ends_with("fine"));
    }

    // Guards against reusing a connection on which a refusal was repeated.
    void refusalSentTwiceIsCountedOnce()
    {
        gateway_fixture gateway;
        listening_socket &listener = gateway.addEngine("e1");
        gateway.configure(1);
        const auto caller = gateway.call("/once/", "1");
        raw_socket engine = gateway.acceptAt(listener);
        gateway.requestAt(engine);
        listening_socket &second = gateway.addEngine("e2");
        engine.send(refusal("1") + refusal("1"));
        raw_socket other = gateway.acceptAt(second);
        gateway.requestAt(other);
        other.send(answer);
        CPPUNIT_ASSERT(gateway.responseOf(*caller).ends_with("mine"));
        engine.receive();
        CPPUNIT_ASSERT(engine.ended());
    }

    // Guards against a repeated run after a response that contradicts itself, and against its body.
    void successMarkedAsNotRunIsNeither()
    {
        const std::string eventField = "Content-Type: text/event-stream\r\n";
        for (const std::string route : {"/once/", "/fragile/"}) {
            for (const std::string &fields : {std::string(), eventField}) {
                gateway_fixture gateway;
                listening_socket &listener = gateway.addEngine("e1");
                gateway.configure(1);
                const auto caller = gateway.call(route, "1");
                raw_socket engine = gateway.acceptAt(listener);
                gateway.requestAt(engine);
                listening_socket &second = gateway.addEngine("e2");
                engine.send(response("200 OK", "Id: 1\r\nSigned: s\r\nNot-Run: 1\r\n" + fields,
                                     "id: 1\ndata: a\n\n"));
                gateway.waitFor("outcome", [&] {
                    return contains(caller->receive(), "\r\n\r\n") || second.pending();
                });
                CPPUNIT_ASSERT(!second.pending());
                CPPUNIT_ASSERT(gateway.responseOf(*caller).starts_with("HTTP/1.1 502 "));
            }
        }
    }

    // Guards against forwarding a failure that its caller reads as "not run".
    void statusWithoutMarkIsNoPromise()
    {
        const std::string longBody(300'000, 'a');
        for (const std::string status :
             {"408 Request Timeout", "429 Too Many Requests", "503 Service Unavailable"}) {
            for (const std::string &body : {std::string("late"), longBody}) {
                gateway_fixture gateway;
                listening_socket &listener = gateway.addEngine("e1");
                gateway.configure(1);
                const auto caller = gateway.call("/once/", "1");
                raw_socket engine = gateway.acceptAt(listener);
                gateway.requestAt(engine);
                const std::string bytes = response(status, "Id: 1\r\nSigned: s\r\n", body);
                std::string_view rest = bytes;
                gateway.waitFor(status, [&] {
                    rest.remove_prefix(engine.send(rest));
                    return contains(caller->receive(), "\r\n\r\n");
                });
                CPPUNIT_ASSERT_MESSAGE(status, caller->receive().starts_with("HTTP/1.1 502 "));
            }
        }
    }

private:
    /** Returns the engine's side of a connection that has served request 0. */
    static raw_socket serveFirstRequest(gateway_fixture &gateway, listening_socket &listener)
    {
        const auto caller = gateway.call("/once/", "0");
        raw_socket engine = gateway.acceptAt(listener);
        gateway.requestAt(engine);
        engine.send(response("200 OK", "Id: 0\r\nSigned: s\r\n", "first"));
        CPPUNIT_ASSERT(gateway.responseOf(*caller).ends_with("first"));
        return engine;
    }

    static void sendOnReusedConnection(const sent_bytes &sent, bool byteByByte)
    {
        gateway_fixture gateway;
        listening_socket &listener = gateway.addEngine("e1");
        gateway.configure(1);
        raw_socket engine = serveFirstRequest(gateway, listener);
        const auto caller = gateway.call("/once/", "1");
        gateway.waitFor("second request", [&] { return contains(engine.receive(), "Id: 1\r\n"); });
        listening_socket &second = gateway.addEngine("e2");
        if (byteByByte)
            gateway.sendByteByByte(engine, sent.bytes);
        else
            engine.send(sent.bytes);
        engine.closeSending();
        gateway.waitFor(sent.name, [&] {
            return contains(caller->receive(), "\r\n\r\n") || caller->ended() || second.pending();
        });
        const std::string received = gateway.responseOf(*caller);
        CPPUNIT_ASSERT_MESSAGE(sent.name + ": " + received,
                               received.starts_with("HTTP/1.1 " + sent.status + " "));
        CPPUNIT_ASSERT_MESSAGE(sent.name, !second.pending());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(response_attribution_test);
