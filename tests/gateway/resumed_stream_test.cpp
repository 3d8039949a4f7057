#include "gateway/gateway_fixture.h"
#include "gateway/received_response.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>
#include <string>
#include <vector>

using namespace comfreypass;
using namespace comfreypass::tests;

namespace {

std::string chunk(const std::string &bytes)
{
    std::ostringstream text;
    text << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return text.str();
}

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) + "\n\n";
}

const std::string finalChunk = "0\r\n\r\n";
const std::string eventField = "Content-Type: text/event-stream\r\n";
const std::string signedField = "Signed: s\r\n";

std::string headOf(const std::string &status, const std::string &fields)
{
    return "HTTP/1.1 " + status + "\r\nId: 1\r\n" + fields;
}

/** A whole response in each framing: with a length, in chunks, and until the connection ends. */
std::vector<std::string> framings(const std::string &head, const std::string &body)
{
    return {head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
            head + "Transfer-Encoding: chunked\r\n\r\n" + (body.empty() ? "" : chunk(body))
                + finalChunk,
            head + "Connection: close\r\n\r\n" + body};
}

/** The caller has received these events when the first engine breaks off. */
const std::string forwarded = event(1) + event(2);

} // namespace

class resumed_stream_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(resumed_stream_test);
    CPPUNIT_TEST(errorNeverContinuesAStream);
    CPPUNIT_TEST(otherSuccessNeverContinuesAStream);
    CPPUNIT_TEST(truncatedErrorNeverContinuesAStream);
    CPPUNIT_TEST(truncatedContinuationNeverLooksComplete);
    CPPUNIT_TEST(continuationIsForwardedInEachFraming);
    CPPUNIT_TEST(streamThatLacksOnlyItsEndIsCompleted);
    CPPUNIT_TEST(repeatedEventIsNeverForwarded);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an error's text in a stream, and against a stream that it ends cleanly.
    void errorNeverContinuesAStream()
    {
        for (const std::string status :
             {"404 Not Found", "408 Request Timeout", "421 Misdirected Request",
              "429 Too Many Requests", "500 Internal Server Error", "503 Service Unavailable"}) {
            for (const std::string fields : {"", "Not-Run: 1\r\n", "Signed: s\r\n"}) {
                for (const std::string &bytes : framings(headOf(status, fields), "engine's error"))
                    checkBrokenOff(bytes);
            }
        }
    }

    // Guards against joining a stream with a success that does not continue it.
    void otherSuccessNeverContinuesAStream()
    {
        const std::string stream = headOf("200 OK", signedField + eventField);
        const std::vector<std::pair<std::string, std::string>> others = {
            {headOf("200 OK", signedField + "Content-Type: text/plain\r\n"), "text"},
            {headOf("200 OK", signedField + "Content-Type: text/plain\r\n"), ""},
            {headOf("200 OK", signedField), event(3)},
            {headOf("200 OK", eventField), event(3)},
            {headOf("200 OK", eventField), ""},
            {stream, event(1) + event(2) + event(3)},
            {stream, event(2) + event(3)},
            {stream, event(4)},
            {stream, "data: e3\n\n"},
            {stream, "id: x\ndata: e3\n\n"},
            {stream, "id: 3\ndata: cut"},
            {headOf("204 No Content", signedField), ""},
        };
        for (const auto &[head, body] : others) {
            for (const std::string &bytes : framings(head, body))
                checkBrokenOff(bytes);
        }
    }

    // Guards against a part of an error's head in a stream.
    void truncatedErrorNeverContinuesAStream()
    {
        const std::string bytes
            = framings(headOf("503 Service Unavailable", "Not-Run: 1\r\n"), "busy").front();
        for (std::size_t cut = 0; cut < bytes.size(); ++cut)
            checkBrokenOff(bytes.substr(0, cut));
    }

    // Guards against a clean end of a stream whose second engine stopped within its response.
    void truncatedContinuationNeverLooksComplete()
    {
        const std::string bytes = headOf("200 OK", signedField + eventField)
                                  + "Transfer-Encoding: chunked\r\n\r\n" + chunk(event(3))
                                  + chunk(event(4)) + finalChunk;
        for (std::size_t cut = 0; cut < bytes.size(); ++cut) {
            const received_response received = resume(bytes.substr(0, cut), false);
            const std::string whole = forwarded + event(3) + event(4);
            const std::string message = "cut at " + std::to_string(cut) + ": " + received.body;
            CPPUNIT_ASSERT_MESSAGE(message, !received.complete && !received.malformed);
            CPPUNIT_ASSERT_MESSAGE(message, whole.starts_with(received.body));
            CPPUNIT_ASSERT_MESSAGE(message, received.body.starts_with(forwarded));
        }
    }

    // Guards against a lost or repeated event where a stream is resumed.
    void continuationIsForwardedInEachFraming()
    {
        const std::string head = headOf("200 OK", signedField + eventField);
        for (const std::string &bytes : framings(head, event(3) + event(4))) {
            for (const bool byteByByte : {false, true}) {
                const received_response received = resume(bytes, byteByByte);
                CPPUNIT_ASSERT_MESSAGE(bytes, received.complete);
                CPPUNIT_ASSERT_EQUAL(forwarded + event(3) + event(4), received.body);
            }
        }
    }

    // Guards against breaking off a stream whose engine ended between the last event and the end.
    void streamThatLacksOnlyItsEndIsCompleted()
    {
        const std::vector<std::string> bytes
            = framings(headOf("200 OK", signedField + eventField), "");
        CPPUNIT_ASSERT(resume(bytes[0], false).complete);
        CPPUNIT_ASSERT(resume(bytes[1], true).complete);
        CPPUNIT_ASSERT(!resume(bytes[2], false).complete);
    }

    // Guards against events that an engine sends twice or in the wrong order.
    void repeatedEventIsNeverForwarded()
    {
        const std::string head
            = headOf("200 OK", signedField + eventField) + "Transfer-Encoding: chunked\r\n\r\n";
        for (const std::string &wrong : {event(4), event(3), event(1)}) {
            for (const std::string &bytes :
                 {chunk(event(3)) + chunk(event(4)) + chunk(wrong) + chunk(event(5)),
                  chunk(event(3) + event(4) + wrong + event(5))}) {
                for (const bool byteByByte : {false, true}) {
                    const received_response received
                        = resume(head + bytes + finalChunk, byteByByte);
                    CPPUNIT_ASSERT_MESSAGE(received.body, !received.complete);
                    CPPUNIT_ASSERT_MESSAGE(
                        received.body,
                        (forwarded + event(3) + event(4)).starts_with(received.body));
                }
            }
        }
    }

private:
    static void checkBrokenOff(const std::string &bytes)
    {
        for (const bool byteByByte : {false, true}) {
            const received_response received = resume(bytes, byteByByte);
            const std::string message = bytes + " gave " + received.body;
            CPPUNIT_ASSERT_MESSAGE(message, !received.complete && !received.malformed);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(message, forwarded, received.body);
        }
    }

    /** Breaks a stream off after two events; the next engine sends `bytes` and closes. */
    static received_response resume(const std::string &bytes, bool byteByByte)
    {
        gateway_fixture gateway;
        listening_socket &first = gateway.addEngine("e1");
        gateway.configure(1);
        // The caller's time bounds the search for another engine.
        const auto caller = gateway.call("/stream/", "1", "Wait-Ms: 700\r\n");
        listening_socket *second = nullptr;
        {
            raw_socket engine = gateway.acceptAt(first);
            gateway.requestAt(engine);
            engine.send(headOf("200 OK", signedField + eventField)
                        + "Transfer-Encoding: chunked\r\n\r\n" + chunk(event(1))
                        + chunk(event(2) + "id: 3\nda"));
            gateway.waitFor("events", [&] {
                return received_response::parse(caller->receive()).body == forwarded;
            });
            second = &gateway.addEngine("e2");
        }
        raw_socket engine = gateway.acceptAt(*second);
        CPPUNIT_ASSERT(gateway.requestAt(engine).find("Resume: 2\r\n") != std::string::npos);
        if (byteByByte)
            gateway.sendByteByByte(engine, bytes);
        else
            engine.send(bytes);
        engine.close();
        gateway.waitFor("end", [&] {
            return received_response::parse(caller->receive()).complete || caller->ended();
        });
        return received_response::parse(caller->receive());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(resumed_stream_test);
