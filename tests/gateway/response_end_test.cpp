#include "gateway/response_end.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

using namespace comfreypass;
using namespace comfreypass::gateway;

namespace {

http1::message_head headOf(unsigned status)
{
    http1::message_head head;
    head.status = status;
    return head;
}

} // namespace

class response_end_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(response_end_test);
    CPPUNIT_TEST(responseWithoutBodyDoesNotEndWithItsConnection);
    CPPUNIT_TEST(lengthAndChunksEndAResponse);
    CPPUNIT_TEST(streamThatStopsInsideAnEventIsDetected);
    CPPUNIT_TEST(fragmentationDoesNotChangeTheEnd);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against waiting for, or missing, a body that a response cannot have.
    void responseWithoutBodyDoesNotEndWithItsConnection()
    {
        for (const unsigned status : {204U, 205U, 304U})
            CPPUNIT_ASSERT(!endsWithConnection(headOf(status), "GET"));
        for (const unsigned status : {200U, 404U})
            CPPUNIT_ASSERT(!endsWithConnection(headOf(status), "HEAD"));
        for (const unsigned status : {200U, 201U, 206U, 303U, 404U, 500U})
            CPPUNIT_ASSERT(endsWithConnection(headOf(status), "POST"));
    }

    // Guards against a framed response that is taken for one whose end only its connection shows.
    void lengthAndChunksEndAResponse()
    {
        http1::message_head empty = headOf(200);
        empty.contentLength = 0;
        CPPUNIT_ASSERT(!endsWithConnection(empty, "GET"));
        http1::message_head chunked = headOf(200);
        chunked.chunked = true;
        CPPUNIT_ASSERT(!endsWithConnection(chunked, "GET"));
    }

    // Guards against a part of an event, or of the line end that ends it, that looks like a whole.
    void streamThatStopsInsideAnEventIsDetected()
    {
        const std::vector<std::vector<std::string>> streams = {
            {"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"},
            {"id: 1\r\ndata: a\r\n\r\n", "id: 2\r\ndata: b\r\n\r\n"},
            {"id: 1\r\ndata: a\n\r\n", "data:\r\n\n", "\n", "\r\n", "data: b\n\n"},
        };
        for (const std::vector<std::string> &events : streams) {
            std::string stream;
            std::vector<std::size_t> ends = {0};
            for (const std::string &each : events) {
                stream += each;
                ends.push_back(stream.size());
            }
            for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
                event_end_detector detector;
                detector.feed(std::string_view(stream).substr(0, cut));
                const bool expected = std::ranges::find(ends, cut) != ends.end();
                CPPUNIT_ASSERT_EQUAL_MESSAGE(stream.substr(0, cut), expected,
                                             detector.atEventEnd());
            }
        }
    }

    // Guards against an end that depends on how the network fragmented the stream.
    void fragmentationDoesNotChangeTheEnd()
    {
        const std::string stream = "id: 1\r\ndata: a\r\n\r\n: note\n\nid: 2\ndata: b\n\r\n";
        for (std::size_t step = 1; step <= stream.size(); ++step) {
            event_end_detector detector;
            for (std::size_t at = 0; at < stream.size(); at += step) {
                const std::string_view part = std::string_view(stream).substr(0, at + step);
                detector.feed(part.substr(at));
                event_end_detector whole;
                whole.feed(part);
                CPPUNIT_ASSERT_EQUAL(whole.atEventEnd(), detector.atEventEnd());
            }
            CPPUNIT_ASSERT(detector.atEventEnd());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(response_end_test);
