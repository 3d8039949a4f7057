#include "observe/metric_registry.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <sstream>
#include <string>

using namespace comfreypass;
using namespace comfreypass::observe;

class metric_registry_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(metric_registry_test);
    CPPUNIT_TEST(countsBySeries);
    CPPUNIT_TEST(writesEveryMetricWithoutDuplicateSeries);
    CPPUNIT_TEST(escapesLabels);
    CPPUNIT_TEST(clearRemovesOldSeries);
    CPPUNIT_TEST(limitsSeriesCount);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against label values that collide when joined.
    void countsBySeries()
    {
        metric_registry registry(m_node);
        registry.add(metric::Requests, {"0", "chat", "refused", "capacity"});
        registry.add(metric::Requests, {"0", "chat", "refused", "capacity"}, 2);
        registry.add(metric::ControlBytes, {"in", "ping"}, 100);
        registry.add(metric::ControlBytes, {"inping", ""}, 1);
        CPPUNIT_ASSERT_EQUAL(
            3.0, registry.value(metric::Requests, {"0", "chat", "refused", "capacity"}));
        CPPUNIT_ASSERT_EQUAL(100.0, registry.value(metric::ControlBytes, {"in", "ping"}));
        CPPUNIT_ASSERT_EQUAL(0.0, registry.value(metric::ControlBytes, {"out", "ping"}));
    }

    // Guards against duplicate series, for which Prometheus rejects the whole scrape.
    void writesEveryMetricWithoutDuplicateSeries()
    {
        metric_registry registry(m_node);
        registry.add(metric::OnTimeRequests, {"0", "chat"});
        registry.add(metric::OnTimeRequests, {"1", "chat"}, 5);
        registry.set(metric::ConfirmationAge, {}, 0.25);
        registry.record(metric::FirstToken, 0, "chat", std::chrono::duration<double>(0.3));
        const std::string text = write(registry);
        for (const metric_info &info : describeMetrics())
            CPPUNIT_ASSERT(text.find("# HELP " + std::string(info.name) + " ")
                           != std::string::npos);
        std::set<std::string> names;
        std::istringstream lines(text);
        for (std::string line; std::getline(lines, line);)
            CPPUNIT_ASSERT_MESSAGE(line, names.insert(line.substr(0, line.rfind(' '))).second);
        for (const char *line :
             {"comfreypass_on_time_requests_total{tier=\"1\",upstream=\"chat\"} 5",
              "comfreypass_confirmation_age_seconds 0.25",
              "comfreypass_node_info{node=\"entry-1\",incarnation=\"77\"} 1",
              "comfreypass_snapshot_time_seconds 1000.5"})
            CPPUNIT_ASSERT_MESSAGE(line,
                                   text.find(std::string("\n") + line + "\n") != std::string::npos);
    }

    // Guards against a label value that closes its quotes and injects series.
    void escapesLabels()
    {
        metric_registry registry(m_node);
        registry.add(metric::DroppedMessages, {"a\"b\\c\nd"});
        CPPUNIT_ASSERT(write(registry).find(R"({cause="a\"b\\c\nd"} 1)") != std::string::npos);
    }

    // Guards against stale gauges of an upstream that was removed.
    void clearRemovesOldSeries()
    {
        metric_registry registry(m_node);
        registry.set(metric::Votes, {"chat"}, 5);
        registry.clear(metric::Votes);
        CPPUNIT_ASSERT(write(registry).find("comfreypass_votes_held{") == std::string::npos);
    }

    // Guards against unbounded memory when new label values keep appearing, and against lost counts
    // once the limit is reached.
    void limitsSeriesCount()
    {
        metric_registry registry(m_node);
        constexpr std::size_t extra = 100;
        for (std::size_t i = 0; i < metric_registry::maxSeries + extra; ++i)
            registry.add(metric::TeamRequests, {"0", "team-" + std::to_string(i), "north"});
        CPPUNIT_ASSERT(registry.seriesCount() < metric_registry::maxSeries + 10);
        CPPUNIT_ASSERT_EQUAL(double{extra},
                             registry.value(metric::TeamRequests, {"other", "other", "other"}));
        CPPUNIT_ASSERT_EQUAL(
            double{extra}, registry.value(metric::LostSeries, {"comfreypass_team_requests_total"}));
    }

private:
    static std::string write(const metric_registry &registry)
    {
        std::ostringstream text;
        const std::chrono::system_clock::time_point now{std::chrono::milliseconds(1'000'500)};
        registry.writeText(text, now);
        return text.str();
    }

    const core::node_identity m_node{core::node_name("entry-1"), 77};
};

CPPUNIT_TEST_SUITE_REGISTRATION(metric_registry_test);
