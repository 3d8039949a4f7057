#include "gateway/gateway_fixture.h"
#include "gateway/received_response.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <sstream>
#include <string>
#include <vector>

using namespace comfreypass;
using namespace comfreypass::tests;

namespace {

/** Larger than any body that the node buffers. */
constexpr std::size_t relayedBytes = 300'000;

/** An engine's response that the test ends at each position from `firstCut` on. */
struct cut_response
{
    std::string name;
    std::string route;
    std::string head;
    std::string body;
    std::size_t firstCut = 0;

    std::string bytes() const { return head + body; }
};

using end_function = void (raw_socket::*)();

constexpr end_function closed = &raw_socket::close;
constexpr end_function reset = &raw_socket::reset;

std::string chunked(const std::vector<std::string> &pieces)
{
    std::ostringstream text;
    for (const std::string &each : pieces)
        text << std::hex << each.size() << "\r\n" << each << "\r\n";
    text << "0\r\n\r\n";
    return text.str();
}

std::string headOf(const std::string &fields)
{
    return "HTTP/1.1 200 OK\r\nId: 1\r\nSigned: s\r\n" + fields + "\r\n";
}

const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";
const std::string eventField = "Content-Type: text/event-stream\r\n";
const std::string chunkedField = "Transfer-Encoding: chunked\r\n";
const std::vector<std::string> eventPieces
    = {"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\nid: 3\nda", "ta: c\n\n"};

std::vector<cut_response> framedResponses()
{
    return {
        {"length", "/once/", headOf("Content-Length: 4\r\n"), "body"},
        {"interim response and length", "/once/", interim + headOf("Content-Length: 4\r\n"),
         "body"},
        {"chunks", "/once/", headOf(chunkedField), chunked({"bo", "dy"})},
        {"events with a length", "/fragile/", headOf(eventField + "Content-Length: 15\r\n"),
         eventPieces.front()},
        {"events in chunks", "/fragile/", headOf(eventField + chunkedField), chunked(eventPieces)},
        {"refusal", "/once/",
         "HTTP/1.1 503 Busy\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\n", "busy"},
    };
}

std::vector<cut_response> unframedResponses()
{
    return {
        {"body until the end", "/once/", headOf("Connection: close\r\n"), "body"},
        {"events until the end", "/fragile/", headOf(eventField + "Connection: close\r\n"),
         eventPieces.front()},
    };
}

std::vector<cut_response> relayedResponses()
{
    const std::string body(relayedBytes, 'a');
    const std::string pieces = chunked({body, "b"});
    const std::string lengthField = "Content-Length: " + std::to_string(relayedBytes) + "\r\n";
    constexpr std::size_t lastBytes = 16;
    return {
        {"relayed length", "/once/", headOf(lengthField), body, relayedBytes - 2},
        {"relayed chunks", "/once/", headOf(chunkedField), pieces, pieces.size() - lastBytes},
    };
}

} // namespace

class truncated_response_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(truncated_response_test);
    CPPUNIT_TEST(truncatedResponseNeverLooksComplete);
    CPPUNIT_TEST(unframedResponseWithoutBodyNeverLooksComplete);
    CPPUNIT_TEST(statusWithoutBodyIsForwarded);
    CPPUNIT_TEST(unframedResponseNeverLooksCompleteAfterReset);
    CPPUNIT_TEST(truncatedRelayedResponseNeverLooksComplete);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a response framed as complete although its engine stopped within it.
    void truncatedResponseNeverLooksComplete()
    {
        for (const cut_response &each : framedResponses()) {
            for (std::size_t cut = each.firstCut; cut < each.bytes().size(); ++cut) {
                checkIncomplete(each, cut, closed);
                checkIncomplete(each, cut, reset);
            }
            CPPUNIT_ASSERT_MESSAGE(each.name, receive(each, each.bytes().size(), closed).complete);
        }
    }

    // Guards against an empty success of an engine that stopped after the head of its response.
    void unframedResponseWithoutBodyNeverLooksComplete()
    {
        for (const cut_response &each : unframedResponses()) {
            for (std::size_t cut = 0; cut <= each.head.size(); ++cut)
                checkIncomplete(each, cut, closed);
            const received_response whole = receive(each, each.bytes().size(), closed);
            CPPUNIT_ASSERT_MESSAGE(each.name, whole.complete && whole.body == each.body);
        }
    }

    // Guards against a failure for a success that has no body by its status.
    void statusWithoutBodyIsForwarded()
    {
        const cut_response sent{"no content", "/once/",
                                "HTTP/1.1 204 No Content\r\nId: 1\r\nSigned: s\r\n\r\n", ""};
        const received_response received = receive(sent, sent.head.size(), closed);
        CPPUNIT_ASSERT(received.complete && received.status == 204);
    }

    // Guards against a part of a response whose end shows only in the end of its connection.
    void unframedResponseNeverLooksCompleteAfterReset()
    {
        for (const cut_response &each : unframedResponses()) {
            for (std::size_t cut = each.head.size(); cut <= each.bytes().size(); ++cut)
                checkIncomplete(each, cut, reset);
        }
    }

    // Guards against a final chunk after a part of a body that is too large for the buffer.
    void truncatedRelayedResponseNeverLooksComplete()
    {
        for (const cut_response &each : relayedResponses()) {
            for (std::size_t cut = each.head.size() + each.firstCut; cut < each.bytes().size();
                 ++cut) {
                checkIncomplete(each, cut, closed);
                checkIncomplete(each, cut, reset);
            }
            const received_response whole = receive(each, each.bytes().size(), closed);
            CPPUNIT_ASSERT_MESSAGE(each.name, whole.complete && whole.body.size() >= relayedBytes);
        }
    }

private:
    /** Checks that a caller sees a local failure or a response that visibly breaks off. */
    static void checkIncomplete(const cut_response &sent, std::size_t cut, end_function end)
    {
        const received_response received = receive(sent, cut, end);
        const std::string message = sent.name + " cut at " + std::to_string(cut)
                                    + (end == closed ? " and closed" : " and reset") + ": status "
                                    + std::to_string(received.status);
        const bool isLocalFailure = received.complete && received.status == 502;
        CPPUNIT_ASSERT_MESSAGE(message, isLocalFailure || !received.complete);
        CPPUNIT_ASSERT_MESSAGE(message, !received.malformed);
    }

    static received_response receive(const cut_response &sent, std::size_t cut, end_function end)
    {
        gateway_fixture gateway;
        listening_socket &listener = gateway.addEngine("e1");
        gateway.configure(1);
        const auto caller = gateway.call(sent.route, "1");
        raw_socket engine = gateway.acceptAt(listener);
        gateway.requestAt(engine);
        const std::string bytes = sent.bytes().substr(0, cut);
        std::string_view rest = bytes;
        gateway.waitFor(sent.name, [&] {
            rest.remove_prefix(rest.empty() ? 0 : engine.send(rest));
            caller->receive();
            return rest.empty();
        });
        (engine.*end)();
        gateway.waitFor(sent.name, [&] {
            return received_response::parse(caller->receive()).complete || caller->ended();
        });
        return received_response::parse(caller->receive());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(truncated_response_test);
