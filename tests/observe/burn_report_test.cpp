#include "observe/burn_html.h"
#include "observe/burn_json.h"
#include "observe/burn_report.h"
#include "observe/metric_registry.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <sstream>
#include <string>
#include <vector>

using namespace comfreypass;
using namespace comfreypass::observe;

namespace {

constexpr double objective = 0.99;

/** Node whose metrics are exported and parsed again, as by the report command. */
class test_node
{
public:
    explicit test_node(const std::string &name, core::incarnation incarnation = 1)
        : m_registry({core::node_name(name), incarnation})
    { }

    void recordRequests(int count, bool isOnTime, const std::string &team = "a")
    {
        m_registry.add(metric::TeamRequests, {"0", team, "north"}, count);
        m_registry.add(metric::Requests, {"0", "chat", "answered", ""}, count);
        if (!isOnTime)
            return;
        m_registry.add(metric::TeamOnTimeRequests, {"0", team, "north"}, count);
        m_registry.add(metric::OnTimeRequests, {"0", "chat"}, count);
    }

    metric_registry &registry() { return m_registry; }

    metrics_snapshot snapshotAt(std::chrono::minutes time) const
    {
        std::ostringstream text;
        const std::chrono::system_clock::time_point epoch{std::chrono::hours(1'000)};
        m_registry.writeText(text, epoch + time);
        auto snapshot = parseSnapshot(text.str());
        CPPUNIT_ASSERT(snapshot.has_value());
        return snapshot.value();
    }

private:
    metric_registry m_registry;
};

const burn_report::row &rowOf(const burn_report &report, burn_report::dimension kind,
                              const std::string &name)
{
    const auto found = std::find_if(report.rows.begin(), report.rows.end(), [&](const auto &row) {
        return row.kind == kind && row.name == name;
    });
    CPPUNIT_ASSERT(found != report.rows.end());
    return *found;
}

using dimension = burn_report::dimension;
using std::chrono::minutes;

} // namespace

class burn_report_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(burn_report_test);
    CPPUNIT_TEST(sumsNodesByEveryDimension);
    CPPUNIT_TEST(alertRequiresBothWindows);
    CPPUNIT_TEST(restartDoesNotHideErrors);
    CPPUNIT_TEST(teamLimitsDoNotBurnTheBudget);
    CPPUNIT_TEST(requiresTwoSnapshotsPerNode);
    CPPUNIT_TEST(htmlEscapesNamesAndIsSelfContained);
    CPPUNIT_TEST(rejectsMalformedSnapshots);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a report that covers only one node or one dimension. At an objective of 99%,
    // 10 late requests of 200 are a burn rate of 5.
    void sumsNodesByEveryDimension()
    {
        std::vector<metrics_snapshot> snapshots;
        for (const char *name : {"entry-1", "entry-2"}) {
            test_node node(name);
            node.recordRequests(1'000, false); // Precedes the first snapshot: not counted.
            snapshots.push_back(node.snapshotAt(minutes(0)));
            node.recordRequests(95, true);
            node.recordRequests(5, false);
            snapshots.push_back(node.snapshotAt(minutes(60)));
        }
        std::reverse(snapshots.begin(), snapshots.end());
        const auto report = makeBurnReport(snapshots, objective);
        CPPUNIT_ASSERT(report.has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, report.value().rows.size());
        for (const burn_report::row &row : report.value().rows) {
            CPPUNIT_ASSERT_EQUAL(200.0, row.total);
            CPPUNIT_ASSERT_EQUAL(190.0, row.good);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(5.0, row.rate, 1e-9);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(5.0 / (24 * 30), row.budgetUsed, 1e-9);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, row.history.size());
        }
        const auto json = writeBurnJson(report.value());
        CPPUNIT_ASSERT(json.at_pointer("/rows/3/dimension") == "upstream");
    }

    // Guards against a page after the fault has ended, and against a missing page while it lasts.
    void alertRequiresBothWindows()
    {
        test_node broken("entry-1");
        std::vector<metrics_snapshot> lasting = {broken.snapshotAt(minutes(0))};
        broken.recordRequests(100, false);
        lasting.push_back(broken.snapshotAt(minutes(54)));
        broken.recordRequests(10, false);
        lasting.push_back(broken.snapshotAt(minutes(60)));
        CPPUNIT_ASSERT(makeBurnReport(lasting, objective).value().fires("page"));

        test_node node("entry-1");
        std::vector<metrics_snapshot> snapshots = {node.snapshotAt(minutes(0))};
        node.recordRequests(100, false);
        snapshots.push_back(node.snapshotAt(minutes(29)));
        node.recordRequests(100, true);
        snapshots.push_back(node.snapshotAt(minutes(54)));
        node.recordRequests(100, true);
        snapshots.push_back(node.snapshotAt(minutes(60)));
        const burn_report report = makeBurnReport(snapshots, objective).value();
        // The 5-minute window starts between snapshots, so it is measured from minute 54.
        CPPUNIT_ASSERT(!report.fires("page"));
        const auto &alerts = rowOf(report, dimension::Tier, "0").alerts;
        CPPUNIT_ASSERT(alerts[0].longWindowBurn.rate > 14.4);
        CPPUNIT_ASSERT_EQUAL(0.0, alerts[0].shortWindowBurn.rate);
        CPPUNIT_ASSERT_EQUAL(360.0, alerts[0].shortWindowBurn.covered.count());
        CPPUNIT_ASSERT_EQUAL(3'600.0, alerts[2].longWindowBurn.covered.count());
    }

    // Guards against losing the errors before or after a restart, which resets the counters.
    void restartDoesNotHideErrors()
    {
        test_node before("entry-1", 1);
        std::vector<metrics_snapshot> snapshots = {before.snapshotAt(minutes(0))};
        before.recordRequests(50, false);
        snapshots.push_back(before.snapshotAt(minutes(10)));
        test_node after("entry-1", 2);
        after.recordRequests(150, true);
        snapshots.push_back(after.snapshotAt(minutes(20)));
        const burn_report report = makeBurnReport(snapshots, objective).value();
        const auto &row = rowOf(report, dimension::Team, "a");
        CPPUNIT_ASSERT_EQUAL(200.0, row.total);
        CPPUNIT_ASSERT_EQUAL(150.0, row.good);
    }

    // Guards against refusals due to a team's own limit that count as errors of the upstream.
    void teamLimitsDoNotBurnTheBudget()
    {
        test_node node("entry-1");
        std::vector<metrics_snapshot> snapshots = {node.snapshotAt(minutes(0))};
        node.recordRequests(10, true);
        node.registry().add(metric::Requests, {"0", "chat", "refused", "team_limit"}, 90);
        node.registry().add(metric::Requests, {"0", "chat", "refused", "capacity"}, 10);
        snapshots.push_back(node.snapshotAt(minutes(1)));
        const burn_report report = makeBurnReport(snapshots, objective).value();
        CPPUNIT_ASSERT_EQUAL(20.0, rowOf(report, dimension::Upstream, "chat").total);
    }

    // Guards against rates from a single snapshot, whose counters began at an unknown time.
    void requiresTwoSnapshotsPerNode()
    {
        test_node one("entry-1");
        std::vector<metrics_snapshot> snapshots = {one.snapshotAt(minutes(0))};
        CPPUNIT_ASSERT(!makeBurnReport(snapshots, objective));
        test_node two("entry-2");
        snapshots.push_back(two.snapshotAt(minutes(0)));
        two.recordRequests(1, true);
        snapshots.push_back(two.snapshotAt(minutes(1)));
        const burn_report report = makeBurnReport(snapshots, objective).value();
        CPPUNIT_ASSERT(report.ignoredNodes.front().text() == "entry-1");
    }

    // Guards against names that inject markup, and against references to external resources.
    void htmlEscapesNamesAndIsSelfContained()
    {
        test_node node("entry-1");
        std::vector<metrics_snapshot> snapshots = {node.snapshotAt(minutes(0))};
        node.recordRequests(3, false, "<script>\"x\"");
        snapshots.push_back(node.snapshotAt(minutes(60)));
        std::ostringstream out;
        writeBurnHtml(makeBurnReport(snapshots, objective).value(), out);
        const std::string page = out.str();
        CPPUNIT_ASSERT(page.find("&lt;script&gt;") != std::string::npos);
        CPPUNIT_ASSERT(page.find("<polyline") != std::string::npos);
        for (const char *text : {"<script", "http://", "https://", "src=", "nan", "inf"})
            CPPUNIT_ASSERT_MESSAGE(text, page.find(text) == std::string::npos);
    }

    // Guards against a report from a truncated file or from a file of another format.
    void rejectsMalformedSnapshots()
    {
        for (const char *text :
             {"", "a b", "a{b=\"c} 1", "a{b=\"c\"", "a{b} 1", "a 1 2", "{a=\"b\"} 1",
              "comfreypass_snapshot_time_seconds 5\n", "<html>", "a +Inf"})
            CPPUNIT_ASSERT_MESSAGE(text, !parseSnapshot(text));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(burn_report_test);
