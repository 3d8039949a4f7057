#include "http1/forwarded_headers.h"
#include "http1/message_parser.h"
#include "transport/message_framing.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <ctime>
#include <functional>
#include <limits>
#include <string>
#include <string_view>

using namespace comfreypass;
using namespace comfreypass::http1;

namespace {

constexpr std::size_t smallBytes = 4'096;
constexpr std::size_t largeBytes = 65'536;

/** A cost that grows with the square of the size has a ratio of 16. */
constexpr double maxRatio = 6;

/** Returns the shortest of several processor times of a call, in nanoseconds. */
double shortestTime(const std::function<void()> &call)
{
    constexpr int repetitions = 7;
    double shortest = std::numeric_limits<double>::max();
    for (int i = 0; i < repetitions; ++i) {
        const auto read = [] {
            timespec time{};
            ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
            return 1e9 * static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec);
        };
        const double start = read();
        call();
        shortest = std::min(shortest, read() - start);
    }
    return shortest;
}

/** Half of the header is a Connection field with distinct names, the rest are short fields. */
transport::http_headers headersWithManyConnectionOptions(std::size_t bytes)
{
    transport::http_headers headers;
    std::string options;
    for (std::size_t i = 0; options.size() < bytes / 2; ++i)
        options += "o" + std::to_string(10'000 + i) + ",";
    headers.add("Connection", options);
    for (std::size_t i = 0; i < bytes / 2 / 10; ++i)
        headers.add("f" + std::to_string(10'000 + i), "1");
    return headers;
}

} // namespace

class header_cost_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(header_cost_test);
    CPPUNIT_TEST(costOfConnectionOptionsIsLinear);
    CPPUNIT_TEST(costOfBytesThatArriveOneByOneIsLinear);
    CPPUNIT_TEST(optionsAreComparedWithoutCase);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a node that hangs on headers within the limits, see review/2.
    void costOfConnectionOptionsIsLinear()
    {
        const auto costPerByte = [](std::size_t bytes) {
            const transport::http_headers headers = headersWithManyConnectionOptions(bytes);
            return shortestTime([&] {
                       CPPUNIT_ASSERT(!forwardedHeaders(headers).empty());
                       CPPUNIT_ASSERT(!transport::framingFault(headers));
                   })
                   / static_cast<double>(bytes);
        };
        checkRatio("Connection", costPerByte);
    }

    // Guards against a line that is searched from its start again with each byte that arrives.
    void costOfBytesThatArriveOneByOneIsLinear()
    {
        const std::string head = "HTTP/1.1 200 OK\r\n";
        const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
        const auto longField = [&](std::size_t bytes) {
            return head + "Content-Length: 0\r\nField: " + std::string(bytes, 'a') + "\r\n\r\n";
        };
        const auto manyFields = [&](std::size_t bytes) {
            std::string text = head + "Content-Length: 0\r\n";
            while (text.size() < bytes)
                text += "Name-Of-A-Field: value\r\n";
            return text + "\r\n";
        };
        const auto chunkExtension = [&](std::size_t bytes) {
            return chunked + "1;x=" + std::string(bytes, 'a') + "\r\na\r\n0\r\n\r\n";
        };
        const auto trailer = [&](std::size_t bytes) {
            return chunked + "0\r\nField: " + std::string(bytes, 'a') + "\r\n\r\n";
        };
        const auto manyTrailerFields = [&](std::size_t bytes) {
            std::string text = chunked + "0\r\n";
            while (text.size() < bytes)
                text += "Name-Of-A-Field: value\r\n";
            return text + "\r\n";
        };
        checkArrival("long field", longField);
        checkArrival("many fields", manyFields);
        checkArrival("chunk extension", chunkExtension);
        checkArrival("trailer", trailer);
        checkArrival("many trailer fields", manyTrailerFields);
    }

    // Guards against a field of one connection that is forwarded because of its case.
    void optionsAreComparedWithoutCase()
    {
        const transport::http_headers headers
            = forwardedHeaders({{"connection", " x-HOP\t,, Z\xC4 "},
                                {"CONNECTION", "[name"},
                                {"X-Hop", "1"},
                                {"[NAME", "2"},
                                {"z\xC4", "3"},
                                {"{name", "4"},
                                {"z\xE4", "5"}});
        std::string names;
        for (const auto &[name, value] : headers)
            names += value;
        CPPUNIT_ASSERT_EQUAL(std::string("45"), names);
    }

private:
    static void checkRatio(const std::string &name,
                           const std::function<double(std::size_t)> &costPerByte)
    {
        const double small = costPerByte(smallBytes);
        const double large = costPerByte(largeBytes);
        const std::string message
            = name + ": " + std::to_string(small) + " and " + std::to_string(large) + " ns/byte";
        CPPUNIT_ASSERT_MESSAGE(message, large <= maxRatio * small);
    }

    static void checkArrival(const std::string &name,
                             const std::function<std::string(std::size_t)> &buildMessage)
    {
        checkRatio(name, [&](std::size_t bytes) {
            const std::string message = buildMessage(bytes);
            return shortestTime([&] { parseByteByByte(message); }) / static_cast<double>(bytes);
        });
    }

    static void parseByteByByte(std::string_view message)
    {
        message_parser parser(message_kind::Response, 2 * largeBytes, [](std::string_view) {});
        std::size_t consumed = 0;
        for (std::size_t end = 1; end <= message.size(); ++end) {
            const auto count = parser.parse(message.substr(consumed, end - consumed));
            CPPUNIT_ASSERT(count);
            consumed += count.value();
        }
        CPPUNIT_ASSERT(parser.complete());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(header_cost_test);
