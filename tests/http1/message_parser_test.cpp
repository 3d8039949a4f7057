#include "http1/message_parser.h"
#include "support/uncertain_framings.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <string_view>
#include <vector>

using namespace comfreypass;
using namespace comfreypass::http1;

namespace {

constexpr std::size_t headerBytes = 1'024;

struct parsed
{
    message_head head;
    std::string body;
    bool complete = false;
    bool failed = false;
    std::string rest;
};

/** Parses a text in pieces of `step` bytes, like input from a socket. */
parsed feed(message_kind kind, const std::string &text, std::size_t step)
{
    parsed result;
    message_parser parser(kind, headerBytes,
                          [&result](std::string_view bytes) { result.body.append(bytes); });
    std::string buffer;
    for (std::size_t at = 0; at < text.size(); at += step) {
        buffer += text.substr(at, step);
        const auto used = parser.parse(buffer);
        if (!used) {
            result.failed = true;
            return result;
        }
        buffer.erase(0, used.value());
    }
    result.complete = parser.complete();
    if (parser.hasHead())
        result.head = parser.head();
    result.rest = buffer;
    return result;
}

} // namespace

class message_parser_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(message_parser_test);
    CPPUNIT_TEST(fragmentationDoesNotAffectParsing);
    CPPUNIT_TEST(bytesAfterMessageAreNotConsumed);
    CPPUNIT_TEST(conflictingLengthsAreRejected);
    CPPUNIT_TEST(framingsWithoutACertainEndAreRejected);
    CPPUNIT_TEST(soundFramingsAreAccepted);
    CPPUNIT_TEST(bodyThatLooksLikeAContinuedFieldIsAccepted);
    CPPUNIT_TEST(oversizedHeaderReportsTooLarge);
    CPPUNIT_TEST(headerWithoutEndIsLimitedInAnyPieces);
    CPPUNIT_TEST(numberOfFieldsIsLimited);
    CPPUNIT_TEST(statusesWithoutResponseAreRejected);
    CPPUNIT_TEST(statusesOfResponsesAreAccepted);
    CPPUNIT_TEST(fieldNamesHoldTokenBytesOnly);
    CPPUNIT_TEST(responseWithoutLengthEndsAtEof);
    CPPUNIT_TEST(truncatedResponseIsIncomplete);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a body that depends on how the network fragmented the message.
    void fragmentationDoesNotAffectParsing()
    {
        const std::string text
            = "POST /a/b?c=d HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
              "5\r\nhello\r\n6;note=1\r\n world\r\n0\r\nTrailer-Field: 1\r\n\r\n";
        for (std::size_t step = 1; step <= text.size(); ++step) {
            const parsed result = feed(message_kind::Request, text, step);
            CPPUNIT_ASSERT(result.complete);
            CPPUNIT_ASSERT_EQUAL(std::string("hello world"), result.body);
            CPPUNIT_ASSERT_EQUAL(std::string("/a/b?c=d"), result.head.target);
            CPPUNIT_ASSERT(result.head.chunked);
            CPPUNIT_ASSERT(!result.head.headers.find("Trailer-Field"));
        }
    }

    // Guards against request smuggling: a request inside the body of another.
    void bytesAfterMessageAreNotConsumed()
    {
        const std::string inner = "GET /inner HTTP/1.1\r\nHost: y\r\n\r\n";
        const std::string outer = "POST /outer HTTP/1.1\r\nHost: x\r\nContent-Length: "
                                  + std::to_string(inner.size()) + "\r\n\r\n" + inner;
        const parsed result
            = feed(message_kind::Request, outer + inner, outer.size() + inner.size());
        CPPUNIT_ASSERT(result.complete);
        CPPUNIT_ASSERT_EQUAL(std::string("/outer"), result.head.target);
        CPPUNIT_ASSERT_EQUAL(inner, result.body);
        CPPUNIT_ASSERT_EQUAL(inner, result.rest);
    }

    // Guards against request smuggling: a message whose end two parsers would see differently.
    void conflictingLengthsAreRejected()
    {
        const std::string both = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n"
                                 "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
        CPPUNIT_ASSERT(feed(message_kind::Request, both, both.size()).failed);
        const std::string two = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n"
                                "Content-Length: 5\r\n\r\nabcde";
        CPPUNIT_ASSERT(feed(message_kind::Request, two, two.size()).failed);
    }

    // Guards against request smuggling behind a transfer coding that the parser does not know, a
    // length that recipients read differently, and a framing field on a continued line.
    void framingsWithoutACertainEndAreRejected()
    {
        for (const std::string &fields : tests::framingsWithoutACertainEnd) {
            for (const std::string_view start : {"POST / HTTP/1.1", "HTTP/1.1 200 OK"}) {
                const bool isRequest = start.starts_with("POST");
                const std::string text = std::string(start) + "\r\nHost: x\r\n" + fields
                                         + "\r\n\r\nGET /hidden HTTP/1.1\r\nHost: x\r\n\r\n";
                for (const std::size_t step : {std::size_t{1}, text.size()}) {
                    const parsed result = feed(
                        isRequest ? message_kind::Request : message_kind::Response, text, step);
                    CPPUNIT_ASSERT_MESSAGE(text, result.failed);
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::string(), result.body);
                }
            }
        }
    }

    // Guards against rejecting messages whose end is certain.
    void soundFramingsAreAccepted()
    {
        for (const std::string &framing :
             {std::string("Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"),
              std::string("transfer-encoding:CHUNKED \r\n\r\n5\r\nhello\r\n0\r\n\r\n"),
              std::string("Content-Length: 5\r\n\r\nhello"),
              std::string("content-length:\t5 \r\n\r\nhello"),
              std::string("Content-Length: 005\r\n\r\nhello")}) {
            for (const std::string start : {"POST / HTTP/1.1", "POST / HTTP/1.0"}) {
                const std::string text = start + "\r\nHost: x\r\n" + framing;
                for (const std::size_t step : {std::size_t{1}, text.size()}) {
                    const parsed result = feed(message_kind::Request, text, step);
                    CPPUNIT_ASSERT_MESSAGE(text, result.complete);
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::string("hello"), result.body);
                }
            }
        }
    }

    // Guards against reading bytes as a response whose status says that they are none.
    void statusesWithoutResponseAreRejected()
    {
        for (const std::string status : {"000", "001", "099", "101", "600", "999"}) {
            for (const std::string rest : {"Content-Length: 2\r\n\r\nok", "\r\nok"}) {
                const std::string text = "HTTP/1.1 " + status + " Status\r\n" + rest;
                for (const std::size_t step : {std::size_t{1}, text.size()}) {
                    const parsed result = feed(message_kind::Response, text, step);
                    CPPUNIT_ASSERT_MESSAGE(text, result.failed);
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::string(), result.body);
                }
            }
        }
    }

    // Guards against rejecting a status because it is unusual.
    void statusesOfResponsesAreAccepted()
    {
        for (const unsigned status : {100U, 102U, 103U, 199U, 200U, 299U, 399U, 499U, 599U}) {
            const std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n\r\n";
            const parsed result = feed(message_kind::Response, text, text.size());
            CPPUNIT_ASSERT_MESSAGE(text, !result.failed);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(text, status, result.head.status);
        }
    }

    // Guards against a field that other recipients read as a field of another name.
    void fieldNamesHoldTokenBytesOnly()
    {
        constexpr std::string_view tokenBytes
            = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyz"
              "ABCDEFGHIJKLMNOPQRSTUVWXYZ";
        constexpr int byteValues = 256;
        for (int value = 0; value < byteValues; ++value) {
            const char byte = static_cast<char>(value);
            // A colon ends the name.
            if (byte == ':')
                continue;
            const bool isToken = tokenBytes.find(byte) != std::string_view::npos;
            for (const std::string &name :
                 {std::string(1, byte), byte + std::string("X"), std::string("X") + byte,
                  std::string("X") + byte + "Y"}) {
                const std::string field = name + ": 1\r\n";
                for (const std::string &text :
                     {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + field + "\r\n",
                      "HTTP/1.1 103 Early Hints\r\n" + field + "\r\n",
                      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + field
                          + "\r\n"}) {
                    for (const std::size_t step : {std::size_t{1}, text.size()}) {
                        const parsed result = feed(message_kind::Response, text, step);
                        CPPUNIT_ASSERT_EQUAL_MESSAGE(text, isToken, !result.failed);
                        CPPUNIT_ASSERT_EQUAL_MESSAGE(text, isToken, result.complete);
                    }
                }
            }
        }
    }

    // Guards against a body that is taken for a part of the header.
    void bodyThatLooksLikeAContinuedFieldIsAccepted()
    {
        const std::string body = "a\r\n b\r\n\tc\r\n\r\n d";
        const std::string text = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: "
                                 + std::to_string(body.size()) + "\r\n\r\n" + body;
        for (std::size_t step = 1; step <= text.size(); ++step) {
            const parsed result = feed(message_kind::Request, text, step);
            CPPUNIT_ASSERT(result.complete);
            CPPUNIT_ASSERT_EQUAL(body, result.body);
        }
    }

    // Guards against an oversized header that is reported as a syntax error.
    void oversizedHeaderReportsTooLarge()
    {
        message_parser parser(message_kind::Request, headerBytes, [](std::string_view) {});
        const std::string text = "GET / HTTP/1.1\r\nHost: x\r\nLong: "
                                 + std::string(2 * headerBytes, 'a') + "\r\n\r\n";
        const auto used = parser.parse(text);
        CPPUNIT_ASSERT(!used);
        CPPUNIT_ASSERT(used.error().code == core::errc::TooLarge);
    }

    // Guards against a header without end whose lines arrive so that none is left to be parsed.
    void headerWithoutEndIsLimitedInAnyPieces()
    {
        for (std::size_t step = 1; step <= 64; ++step) {
            std::string text = "HTTP/1.1 200 OK\r\n";
            while (text.size() < 4 * headerBytes)
                text += "a:\r\n";
            CPPUNIT_ASSERT_MESSAGE(std::to_string(step),
                                   feed(message_kind::Response, text, step).failed);
        }
    }

    // Guards against fields that each occupy many times the bytes that they take in the header.
    void numberOfFieldsIsLimited()
    {
        message_parser parser(message_kind::Response, 65'536, [](std::string_view) {});
        std::string text = "HTTP/1.1 200 OK\r\n";
        while (text.size() < 40'000)
            text += "a:\r\n";
        const auto used = parser.parse(text + "\r\n");
        CPPUNIT_ASSERT(!used);
        CPPUNIT_ASSERT(used.error().code == core::errc::TooLarge);
    }

    // Guards against a response without a length that never completes.
    void responseWithoutLengthEndsAtEof()
    {
        std::string body;
        message_parser parser(message_kind::Response, headerBytes,
                              [&body](std::string_view bytes) { body.append(bytes); });
        const std::string text = "HTTP/1.1 200 OK\r\n\r\nwhole body";
        CPPUNIT_ASSERT_EQUAL(text.size(), parser.parse(text).value());
        CPPUNIT_ASSERT(!parser.complete());
        CPPUNIT_ASSERT(parser.finishAtEof());
        CPPUNIT_ASSERT(parser.complete());
        CPPUNIT_ASSERT_EQUAL(std::string("whole body"), body);
    }

    // Guards against a truncated response that is reported as complete.
    void truncatedResponseIsIncomplete()
    {
        for (const std::string &text :
             {std::string("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"),
              std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"),
              std::string("HTTP/1.1 200 OK\r\nContent-Le")}) {
            message_parser parser(message_kind::Response, headerBytes, [](std::string_view) {});
            CPPUNIT_ASSERT(parser.parse(text));
            CPPUNIT_ASSERT(!parser.finishAtEof());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(message_parser_test);
