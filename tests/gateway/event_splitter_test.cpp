#include "gateway/event_splitter.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <utility>
#include <vector>

using namespace comfreypass::gateway;

class event_splitter_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(event_splitter_test);
    CPPUNIT_TEST(fragmentationDoesNotChangeTheStream);
    CPPUNIT_TEST(incompleteEventIsDiscarded);
    CPPUNIT_TEST(repeatedIdsAreDetected);
    CPPUNIT_TEST(eventIdsAreTracked);
    CPPUNIT_TEST(oversizedEventFails);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against output that depends on how the network fragmented the stream.
    void fragmentationDoesNotChangeTheStream()
    {
        const std::string stream
            = "version: 3\nid: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\n\nid: 3\ndata: c\n\n";
        for (std::size_t step = 1; step <= stream.size(); ++step) {
            event_splitter events;
            std::string out;
            for (std::size_t at = 0; at < stream.size(); at += step) {
                CPPUNIT_ASSERT(events.feed(std::string_view(stream).substr(at, step)));
                out += events.completeEvents();
                events.consumeEvents();
            }
            CPPUNIT_ASSERT_EQUAL(stream, out);
            CPPUNIT_ASSERT_EQUAL(std::string("3"), *events.lastId());
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, events.eventCount());
        }
    }

    // Guards against forwarding an event twice, and against rejecting ids that skip or are no
    // numbers.
    void repeatedIdsAreDetected()
    {
        const std::vector<std::pair<std::string, bool>> cases = {
            {"id: 3\n\nid: 4\n\n", true},   {"id: 3\n\nid: 9\n\n", true},
            {"data: a\n\nid: 3\n\n", true}, {"id: x\n\nid: x\n\n", true},
            {"id: 2\n\n", false},           {"id: 1\n\n", false},
            {"id: 3\n\nid: 3\n\n", false},  {"id: 5\n\nid: 4\n\nid: 6\n\n", false},
        };
        for (const auto &[text, expected] : cases) {
            event_splitter events;
            events.feed("id: 2\n\n");
            events.consumeEvents();
            events.feed(text);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(text, expected, events.idsIncrease());
            events.discardEvents();
            CPPUNIT_ASSERT(events.completeEvents().empty() && events.incompleteEvent().empty());
            CPPUNIT_ASSERT_EQUAL(std::string("2"), *events.lastId());
        }
    }

    // Guards against forwarding part of an event of one engine before the events of another.
    void incompleteEventIsDiscarded()
    {
        event_splitter events;
        events.feed("id: 1\ndata: a\n\nid: 2\ndata: ha");
        CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: a\n\n"),
                             std::string(events.completeEvents()));
        events.consumeEvents();
        CPPUNIT_ASSERT_EQUAL(std::string("id: 2\ndata: ha"), std::string(events.incompleteEvent()));
        events.discardIncompleteEvent();
        events.feed("id: 2\ndata: whole\n\n");
        CPPUNIT_ASSERT_EQUAL(std::string("id: 2\ndata: whole\n\n"),
                             std::string(events.completeEvents()));
    }

    // Guards against resuming after the wrong event.
    void eventIdsAreTracked()
    {
        event_splitter events;
        events.feed("id: 7\ndata: id: 9\n\nid:8\ndata: x\n\n");
        CPPUNIT_ASSERT_EQUAL(std::string("7"), *events.firstId());
        CPPUNIT_ASSERT(!events.lastId());
        events.consumeEvents();
        CPPUNIT_ASSERT_EQUAL(std::string("8"), *events.lastId());
    }

    // Guards against unbounded memory use if an engine sends no line breaks.
    void oversizedEventFails()
    {
        event_splitter events;
        const std::string block(65'536, 'a');
        bool accepted = true;
        for (int i = 0; i < 32 && accepted; ++i)
            accepted = events.feed(block);
        CPPUNIT_ASSERT(!accepted);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(event_splitter_test);
