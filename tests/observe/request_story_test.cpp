#include "observe/request_story.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace comfreypass::observe;

class request_story_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_story_test);
    CPPUNIT_TEST(linesComeInTheOrderOfTime);
    CPPUNIT_TEST(onlyWhatTheNodeKnewThenIsListed);
    CPPUNIT_TEST(eventsOfOtherEnginesAreLeftOut);
    CPPUNIT_TEST(badLinesAreCounted);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a repeat that is shown before the failure that caused it.
    void linesComeInTheOrderOfTime()
    {
        request_story story("r1");
        story.feed(line("10:00:02.000", "a", "request_ended", R"("request":"r1","engine":"e2")"));
        story.feed(line("10:00:01.000", "a", "attempt_failed", R"("request":"r1","engine":"e1")"));
        story.feed(line("10:00:01.500", "a", "request_ended", R"("request":"r2")"));
        const auto own = story.ownLines();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, own.size());
        CPPUNIT_ASSERT_EQUAL(std::string("attempt_failed"), own.at(0).event);
        CPPUNIT_ASSERT_EQUAL(std::string_view("e2"), own.at(1).field("engine"));
    }

    // Guards against a cause that another node knew, or that became known later.
    void onlyWhatTheNodeKnewThenIsListed()
    {
        request_story story("r1");
        story.feed(line("10:00:05.000", "a", "configuration_applied", R"("version":"4")"));
        story.feed(line("10:00:01.000", "a", "configuration_applied", R"("version":"2")"));
        story.feed(line("10:00:02.000", "a", "configuration_applied", R"("version":"3")"));
        story.feed(line("10:00:02.000", "b", "configuration_applied", R"("version":"9")"));
        story.feed(line("10:00:03.000", "a", "request_ended", R"("request":"r1")"));
        const auto beliefs = story.beliefs();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, beliefs.size());
        CPPUNIT_ASSERT_EQUAL(std::string_view("3"), beliefs.at(0).field("version"));
    }

    // Guards against a page on which hundreds of engines hide the one that mattered.
    void eventsOfOtherEnginesAreLeftOut()
    {
        request_story story("r1");
        story.feed(line("10:00:01.000", "a", "engine_removed", R"("engine":"e1")"));
        story.feed(line("10:00:01.000", "a", "engine_removed", R"("engine":"e2")"));
        story.feed(line("09:59:01.000", "a", "engine_added", R"("engine":"e1")"));
        story.feed(line("10:00:03.000", "a", "request_ended", R"("request":"r1","engine":"e1")"));
        const auto beliefs = story.beliefs();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, beliefs.size());
        CPPUNIT_ASSERT_EQUAL(std::string_view("e1"), beliefs.at(0).field("engine"));
    }

    // Guards against a cut line that ends the reading, and a collector's prefix that hides lines.
    void badLinesAreCounted()
    {
        request_story story("r1");
        story.feed("");
        story.feed("text without braces");
        story.feed(R"({"time":"2026-03-24T10:00:0)");
        story.feed(R"({"time":"short","event":"request_ended","request":"r1"})");
        story.feed(R"({"time":7,"event":"request_ended","request":"r1"})");
        story.feed("  0.5 node-a "
                   + line("10:00:03.000", "a", "request_ended", R"("request":"r1")"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, story.linesRead());
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, story.linesSkipped());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, story.ownLines().size());
    }

private:
    static std::string line(const std::string &time, const std::string &node,
                            const std::string &event, const std::string &rest)
    {
        return R"({"time":"2026-03-24T)" + time + R"(Z","level":"info","node":")" + node
               + R"(","event":")" + event + R"(","message":"m",)" + rest + "}";
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_story_test);
