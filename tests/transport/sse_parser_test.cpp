#include "transport/sse_parser.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

using namespace comfreypass::transport;

class sse_parser_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(sse_parser_test);
    CPPUNIT_TEST(eventsAreParsedFromAnyFragments);
    CPPUNIT_TEST(oversizedEventIsReported);
    CPPUNIT_TEST(malformedEventsAreSkipped);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against wrong token counts for arbitrary fragments and all line endings.
    void eventsAreParsedFromAnyFragments()
    {
        const std::string stream
            = ": comment\r\n\r\ndata: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\r\n\r\n"
              "data:{\"choices\":[{\"delta\":\ndata:{\"content\":\"b\"}}]}\n\n"
              "event: x\rdata: {\"choices\":[{\"delta\":{}}]}\r\r"
              "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":9,\"completion_tokens\":2,"
              "\"prompt_tokens_details\":{\"cached_tokens\":4}}}\n\ndata: [DONE]\n\n";
        for (std::size_t size = 1; size <= stream.size(); ++size) {
            std::vector<std::string> events;
            sse_parser parser(1'024, [&](std::string_view data) { events.emplace_back(data); });
            for (std::size_t at = 0; at < stream.size(); at += size)
                CPPUNIT_ASSERT(parser.feed(std::string_view(stream).substr(at, size)));
            CPPUNIT_ASSERT_EQUAL(std::size_t{5}, events.size());
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, parser.tokens());
            CPPUNIT_ASSERT(parser.done());
            CPPUNIT_ASSERT((parser.usage() == token_usage{9, 4, 2}));
        }
    }

    // Guards against unbounded memory use for an event that does not end.
    void oversizedEventIsReported()
    {
        sse_parser parser(100);
        bool isWithinLimit = true;
        for (int i = 0; i < 20 && isWithinLimit; ++i)
            isWithinLimit = parser.feed("data: 0123456789\n");
        CPPUNIT_ASSERT(!isWithinLimit);
        CPPUNIT_ASSERT(!parser.feed("\n\ndata: [DONE]\n\n"));
        CPPUNIT_ASSERT(!parser.done());
    }

    // Guards against a process abort caused by an unexpected document in a stream.
    void malformedEventsAreSkipped()
    {
        sse_parser parser;
        for (const std::string_view data :
             {"{", "[]", "1", "{\"choices\":3}", "{\"choices\":[3]}", "{\"choices\":[{}]}",
              "{\"choices\":[{\"delta\":3}]}", "{\"choices\":[{\"delta\":{\"content\":3}}]}",
              "{\"usage\":null}", "\xff\xfe"})
            CPPUNIT_ASSERT(parser.feed("data: " + std::string(data) + "\n\n"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, parser.tokens());
        CPPUNIT_ASSERT(!parser.usage().has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(sse_parser_test);
