#include "node/node_metrics.h"
#include "transport/clock.h"
#include "transport/epoll_reactor.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <set>
#include <sstream>
#include <string>

using namespace comfreypass;
using node::node_metrics;
using node::request_record;
using observe::metric;

namespace {

request_record makeRecord(request_record::outcome result, std::string reason = "")
{
    request_record record;
    record.team = core::team_name("crew");
    record.half = core::half_name("north");
    record.upstream = core::upstream_name("chat");
    record.tier = 1;
    record.result = result;
    record.reason = std::move(reason);
    return record;
}

request_record makeOnTimeRecord()
{
    request_record record = makeRecord(request_record::outcome::Answered);
    record.inTime = true;
    record.dispatched = true;
    record.prefillTokens = 100;
    record.queued = std::chrono::milliseconds(20);
    record.firstToken = std::chrono::milliseconds(300);
    record.total = std::chrono::milliseconds(700);
    return record;
}

sheet::settings makeSettings()
{
    sheet::settings values;
    values.name = core::node_name("entry-1");
    values.failureDomain = core::domain_name("d1");
    values.listen = {"127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"};
    values.configurationService.address = "127.0.0.1:1";
    values.instanceListAddress = "127.0.0.1:1";
    return values;
}

} // namespace

class node_metrics_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(node_metrics_test);
    CPPUNIT_TEST(countsAnOnTimeResponse);
    CPPUNIT_TEST(lateAndIncompleteResponsesAreNotOnTime);
    CPPUNIT_TEST(teamLimitDoesNotCountAgainstTheTeam);
    CPPUNIT_TEST(onlyRefusalsHaveAReason);
    CPPUNIT_TEST(undispatchedRequestsHaveNoTimes);
    CPPUNIT_TEST(everyMetricHasASeries);
    CPPUNIT_TEST(refreshReplacesValues);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an on-time response that is missing from a total of the burn report.
    void countsAnOnTimeResponse()
    {
        m_metrics.onRecord(makeOnTimeRecord());
        CPPUNIT_ASSERT_EQUAL(1.0,
                             m_registry.value(metric::Requests, {"1", "chat", "answered", ""}));
        CPPUNIT_ASSERT_EQUAL(1.0, m_registry.value(metric::OnTimeRequests, {"1", "chat"}));
        CPPUNIT_ASSERT_EQUAL(1.0, m_registry.value(metric::TeamRequests, {"1", "crew", "north"}));
        CPPUNIT_ASSERT_EQUAL(1.0,
                             m_registry.value(metric::TeamOnTimeRequests, {"1", "crew", "north"}));
        CPPUNIT_ASSERT_EQUAL(100.0, m_registry.value(metric::PrefillTokens, {"1", "chat"}));
        const std::string labels = "{tier=\"1\",upstream=\"chat\"} ";
        assertLine("comfreypass_queue_seconds_sum" + labels + "0.02");
        assertLine("comfreypass_first_token_seconds_sum" + labels + "0.3");
        assertLine("comfreypass_request_seconds_sum" + labels + "0.7");
    }

    // Guards against goodput that includes late or incomplete responses.
    void lateAndIncompleteResponsesAreNotOnTime()
    {
        request_record late = makeOnTimeRecord();
        late.inTime = false;
        late.wastedPrefillTokens = late.prefillTokens;
        m_metrics.onRecord(late);
        request_record broken = makeRecord(request_record::outcome::Unknown, "preempted");
        broken.inTime = true;
        m_metrics.onRecord(broken);
        CPPUNIT_ASSERT_EQUAL(0.0, m_registry.value(metric::OnTimeRequests, {"1", "chat"}));
        CPPUNIT_ASSERT_EQUAL(0.0,
                             m_registry.value(metric::TeamOnTimeRequests, {"1", "crew", "north"}));
        CPPUNIT_ASSERT_EQUAL(2.0, m_registry.value(metric::TeamRequests, {"1", "crew", "north"}));
        CPPUNIT_ASSERT_EQUAL(100.0, m_registry.value(metric::WastedPrefillTokens, {"1", "chat"}));
    }

    // Guards against a team that consumes the error budget by exceeding its own limit.
    void teamLimitDoesNotCountAgainstTheTeam()
    {
        m_metrics.onRecord(makeRecord(request_record::outcome::NotRun, "team_limit"));
        CPPUNIT_ASSERT_EQUAL(0.0, m_registry.value(metric::TeamRequests, {"1", "crew", "north"}));
        // The burn report excludes this series from the upstream's total by its reason.
        CPPUNIT_ASSERT_EQUAL(
            1.0, m_registry.value(metric::Requests, {"1", "chat", "refused", "team_limit"}));
        m_metrics.onRecord(makeRecord(request_record::outcome::NotRun, "capacity"));
        CPPUNIT_ASSERT_EQUAL(1.0, m_registry.value(metric::TeamRequests, {"1", "crew", "north"}));
    }

    // Guards against requests that are counted under the label of another outcome.
    void onlyRefusalsHaveAReason()
    {
        m_metrics.onRecord(makeRecord(request_record::outcome::Unknown, "upstream_failed"));
        m_metrics.onRecord(makeRecord(request_record::outcome::CallerDisconnected, "caller_gone"));
        m_metrics.onRecord(makeRecord(request_record::outcome::NotRun, "capacity"));
        CPPUNIT_ASSERT_EQUAL(1.0, m_registry.value(metric::Requests, {"1", "chat", "unknown", ""}));
        CPPUNIT_ASSERT_EQUAL(1.0,
                             m_registry.value(metric::Requests, {"1", "chat", "caller_gone", ""}));
        CPPUNIT_ASSERT_EQUAL(
            1.0, m_registry.value(metric::Requests, {"1", "chat", "refused", "capacity"}));
    }

    // Guards against zero durations of undispatched requests that bias the histograms downwards.
    void undispatchedRequestsHaveNoTimes()
    {
        m_metrics.onRecord(makeRecord(request_record::outcome::NotRun, "capacity"));
        CPPUNIT_ASSERT(write().find("_seconds_count{") == std::string::npos);
    }

    // Guards against a declared metric that is never updated.
    void everyMetricHasASeries()
    {
        m_metrics.onRecord(makeOnTimeRecord());
        m_metrics.refresh(m_node, transport::monotonicNow());
        const std::string text = write();
        // Without a sheet the node schedules nothing, and no series was lost.
        const std::set<metric> absent
            = {metric::Votes, metric::SheetRevision, metric::ConfirmationAge, metric::LostSeries};
        for (const observe::metric_info &info : observe::describeMetrics()) {
            const std::string name(info.name);
            // Gateway nodes update these; tests/gateway has the same check for them.
            const bool isOfGateway = name.starts_with("comfreypass_gateway_");
            const std::string first = info.type == observe::metric_type::Histogram
                                          ? "\n" + name + "_count{"
                                          : "\n" + name + (info.labelCount() > 0 ? "{" : " ");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, !absent.contains(info.id) && !isOfGateway,
                                         text.find(first) != std::string::npos);
        }
    }

    // Guards against totals that are added again at each export.
    void refreshReplacesValues()
    {
        for (int i = 0; i < 2; ++i)
            m_metrics.refresh(m_node, transport::monotonicNow());
        CPPUNIT_ASSERT_EQUAL(1.0, m_registry.value(metric::Members, {"alive"}));
        CPPUNIT_ASSERT_EQUAL(0.0, m_registry.value(metric::Members, {"dead"}));
        const std::size_t before = m_registry.seriesCount();
        m_metrics.refresh(m_node, transport::monotonicNow());
        CPPUNIT_ASSERT_EQUAL(before, m_registry.seriesCount());
    }

private:
    std::string write() const
    {
        std::ostringstream text;
        m_registry.writeText(text, std::chrono::system_clock::time_point(std::chrono::seconds(1)));
        return text.str();
    }

    void assertLine(const std::string &line) const
    {
        CPPUNIT_ASSERT_MESSAGE(line, write().find("\n" + line + "\n") != std::string::npos);
    }

    transport::epoll_reactor m_reactor;
    node::entry_node m_node{m_reactor.get(), makeSettings(), 77, 1};
    observe::metric_registry m_registry{m_node.identity()};
    node_metrics m_metrics{m_registry};
};

CPPUNIT_TEST_SUITE_REGISTRATION(node_metrics_test);
