#include "observe/request_timeline.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace comfreypass::observe;

class request_timeline_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_timeline_test);
    CPPUNIT_TEST(linesAreSortedByTime);
    CPPUNIT_TEST(listsOnlyEventsTheNodeKnewAtTheTime);
    CPPUNIT_TEST(omitsEventsOfOtherEngines);
    CPPUNIT_TEST(listsStatementsOfEnginesOfTheUpstream);
    CPPUNIT_TEST(namesTheQuarantineOfARefusedRequest);
    CPPUNIT_TEST(countsMalformedLines);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a retry that is listed before the failure that caused it.
    void linesAreSortedByTime()
    {
        request_timeline timeline("r1");
        timeline.feed(
            line("10:00:02.000", "a", "request_ended", R"("request":"r1","engine":"e2")"));
        timeline.feed(
            line("10:00:01.000", "a", "attempt_failed", R"("request":"r1","engine":"e1")"));
        timeline.feed(line("10:00:01.500", "a", "request_ended", R"("request":"r2")"));
        const auto own = timeline.requestLines();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, own.size());
        CPPUNIT_ASSERT_EQUAL(std::string("attempt_failed"), own.at(0).event);
        CPPUNIT_ASSERT_EQUAL(std::string_view("e2"), own.at(1).field("engine"));
    }

    // Guards against listing events of other nodes, or events after the request.
    void listsOnlyEventsTheNodeKnewAtTheTime()
    {
        request_timeline timeline("r1");
        timeline.feed(line("10:00:05.000", "a", "configuration_applied", R"("version":"4")"));
        timeline.feed(line("10:00:01.000", "a", "configuration_applied", R"("version":"2")"));
        timeline.feed(line("10:00:02.000", "a", "configuration_applied", R"("version":"3")"));
        timeline.feed(line("10:00:02.000", "b", "configuration_applied", R"("version":"9")"));
        timeline.feed(line("10:00:03.000", "a", "request_ended", R"("request":"r1")"));
        const auto stateEvents = timeline.stateEvents();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stateEvents.size());
        CPPUNIT_ASSERT_EQUAL(std::string_view("3"), stateEvents.at(0).field("version"));
    }

    // Guards against output where events of unrelated engines hide the relevant ones.
    void omitsEventsOfOtherEngines()
    {
        request_timeline timeline("r1");
        timeline.feed(line("10:00:01.000", "a", "engine_removed", R"("engine":"e1")"));
        timeline.feed(line("10:00:01.000", "a", "engine_removed", R"("engine":"e2")"));
        timeline.feed(line("09:59:01.000", "a", "engine_added", R"("engine":"e1")"));
        timeline.feed(
            line("10:00:03.000", "a", "request_ended", R"("request":"r1","engine":"e1")"));
        const auto stateEvents = timeline.stateEvents();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stateEvents.size());
        CPPUNIT_ASSERT_EQUAL(std::string_view("e1"), stateEvents.at(0).field("engine"));
    }

    // Guards against a refusal without its cause: the request has reached no engine.
    void listsStatementsOfEnginesOfTheUpstream()
    {
        request_timeline timeline("r1");
        timeline.feed(line("10:00:01.000", "a", "engine_leaving",
                           R"("engine":"e1","upstream":"u","stated_in":"r0")"));
        timeline.feed(line("10:00:01.000", "a", "engine_leaving",
                           R"("engine":"e2","upstream":"v","stated_in":"r0")"));
        timeline.feed(line("10:00:02.000", "a", "engine_paused",
                           R"("engine":"e3","upstream":"u","pause_ms":"900")"));
        timeline.feed(
            line("10:00:03.000", "a", "request_ended",
                 R"("request":"r1","engine":"","upstream":"u","reason":"engines_paused")"));
        const auto stateEvents = timeline.stateEvents();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, stateEvents.size());
        CPPUNIT_ASSERT_EQUAL(std::string_view("e3"), stateEvents.at(1).field("engine"));
        CPPUNIT_ASSERT_EQUAL(std::string_view("e1"), stateEvents.at(0).field("engine"));
    }

    // Guards against a refusal whose quarantine began too long before the request to be listed.
    void namesTheQuarantineOfARefusedRequest()
    {
        request_timeline timeline("r1");
        timeline.feed(line("09:58:30.000", "a", "segment_quarantined", R"("segment":"5a")"));
        timeline.feed(line("09:58:40.000", "a", "request_quarantined", R"("digest":"7b")"));
        timeline.feed(line("10:00:03.000", "a", "request_ended",
                           R"("request":"r1","quarantined":"5a","reason":"quarantined_prompt")"));
        const auto stateEvents = timeline.stateEvents();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stateEvents.size());
        CPPUNIT_ASSERT_EQUAL(std::string_view("5a"), stateEvents.at(0).field("segment"));
    }

    // Guards against a truncated line that stops parsing, and against a collector's prefix that
    // makes lines unparsable.
    void countsMalformedLines()
    {
        request_timeline timeline("r1");
        timeline.feed("");
        timeline.feed("text without braces");
        timeline.feed(R"({"time":"2026-03-24T10:00:0)");
        timeline.feed(R"({"time":"short","event":"request_ended","request":"r1"})");
        timeline.feed(R"({"time":7,"event":"request_ended","request":"r1"})");
        timeline.feed("  0.5 node-a "
                      + line("10:00:03.000", "a", "request_ended", R"("request":"r1")"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, timeline.linesRead());
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, timeline.linesSkipped());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, timeline.requestLines().size());
    }

private:
    static std::string line(const std::string &time, const std::string &node,
                            const std::string &event, const std::string &rest)
    {
        return R"({"time":"2026-03-24T)" + time + R"(Z","level":"info","node":")" + node
               + R"(","event":")" + event + R"(","message":"m",)" + rest + "}";
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_timeline_test);
