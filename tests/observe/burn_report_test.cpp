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

/** A node whose metrics are exported and read back as the command does. */
class test_node
{
public:
    explicit test_node(const std::string &name, core::incarnation incarnation = 1)
        : m_registry({core::node_name(name), incarnation})
    { }

    void answer(int count, bool isOnTime, const std::string &team = "a")
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
    CPPUNIT_TEST(alertNeedsBothWindows);
    CPPUNIT_TEST(restartIsNoNegativeCount);
    CPPUNIT_TEST(teamLimitsDoNotBurnTheBudget);
    CPPUNIT_TEST(needsTwoSnapshotsOfANode);
    CPPUNIT_TEST(htmlEscapesNamesAndLoadsNothing);
    CPPUNIT_TEST(refusesDamagedSnapshots);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a report that shows one node or one dimension only. 10 of 200 requests late is
    // a burn rate of 5 at an objective of 99%.
    void sumsNodesByEveryDimension()
    {
        std::vector<metrics_snapshot> snapshots;
        for (const char *name : {"entry-1", "entry-2"}) {
            test_node node(name);
            node.answer(1'000, false); // Before the first snapshot, so it must not count.
            snapshots.push_back(node.snapshotAt(minutes(0)));
            node.answer(95, true);
            node.answer(5, false);
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

    // Guards against a page for a fault that has ended, and against none for one that has not.
    void alertNeedsBothWindows()
    {
        test_node broken("entry-1");
        std::vector<metrics_snapshot> lasting = {broken.snapshotAt(minutes(0))};
        broken.answer(100, false);
        lasting.push_back(broken.snapshotAt(minutes(54)));
        broken.answer(10, false);
        lasting.push_back(broken.snapshotAt(minutes(60)));
        CPPUNIT_ASSERT(makeBurnReport(lasting, objective).value().fires("page"));

        test_node node("entry-1");
        std::vector<metrics_snapshot> snapshots = {node.snapshotAt(minutes(0))};
        node.answer(100, false);
        snapshots.push_back(node.snapshotAt(minutes(29)));
        node.answer(100, true);
        snapshots.push_back(node.snapshotAt(minutes(54)));
        node.answer(100, true);
        snapshots.push_back(node.snapshotAt(minutes(60)));
        const burn_report report = makeBurnReport(snapshots, objective).value();
        // The last snapshot before the 5-minute window is the one at 54 minutes.
        CPPUNIT_ASSERT(!report.fires("page"));
        const auto &alerts = rowOf(report, dimension::Tier, "0").alerts;
        CPPUNIT_ASSERT(alerts[0].inLong.rate > 14.4);
        CPPUNIT_ASSERT_EQUAL(0.0, alerts[0].inShort.rate);
        CPPUNIT_ASSERT_EQUAL(360.0, alerts[0].inShort.covered.count());
        CPPUNIT_ASSERT_EQUAL(3'600.0, alerts[2].inLong.covered.count());
    }

    // Guards against a restarted process that hides the errors before or after its restart.
    void restartIsNoNegativeCount()
    {
        test_node before("entry-1", 1);
        std::vector<metrics_snapshot> snapshots = {before.snapshotAt(minutes(0))};
        before.answer(50, false);
        snapshots.push_back(before.snapshotAt(minutes(10)));
        test_node after("entry-1", 2);
        after.answer(150, true);
        snapshots.push_back(after.snapshotAt(minutes(20)));
        const burn_report report = makeBurnReport(snapshots, objective).value();
        const auto &row = rowOf(report, dimension::Team, "a");
        CPPUNIT_ASSERT_EQUAL(200.0, row.total);
        CPPUNIT_ASSERT_EQUAL(150.0, row.good);
    }

    // Guards against a team over its own limit that makes an upstream look broken.
    void teamLimitsDoNotBurnTheBudget()
    {
        test_node node("entry-1");
        std::vector<metrics_snapshot> snapshots = {node.snapshotAt(minutes(0))};
        node.answer(10, true);
        node.registry().add(metric::Requests, {"0", "chat", "refused", "team_limit"}, 90);
        node.registry().add(metric::Requests, {"0", "chat", "refused", "capacity"}, 10);
        snapshots.push_back(node.snapshotAt(minutes(1)));
        const burn_report report = makeBurnReport(snapshots, objective).value();
        CPPUNIT_ASSERT_EQUAL(20.0, rowOf(report, dimension::Upstream, "chat").total);
    }

    // Guards against rates computed from counts since an unknown start.
    void needsTwoSnapshotsOfANode()
    {
        test_node one("entry-1");
        std::vector<metrics_snapshot> snapshots = {one.snapshotAt(minutes(0))};
        CPPUNIT_ASSERT(!makeBurnReport(snapshots, objective));
        test_node two("entry-2");
        snapshots.push_back(two.snapshotAt(minutes(0)));
        two.answer(1, true);
        snapshots.push_back(two.snapshotAt(minutes(1)));
        const burn_report report = makeBurnReport(snapshots, objective).value();
        CPPUNIT_ASSERT(report.ignoredNodes.front().text() == "entry-1");
    }

    // Guards against names that inject markup, and against a page that needs the network.
    void htmlEscapesNamesAndLoadsNothing()
    {
        test_node node("entry-1");
        std::vector<metrics_snapshot> snapshots = {node.snapshotAt(minutes(0))};
        node.answer(3, false, "<script>\"x\"");
        snapshots.push_back(node.snapshotAt(minutes(60)));
        std::ostringstream out;
        writeBurnHtml(makeBurnReport(snapshots, objective).value(), out);
        const std::string page = out.str();
        CPPUNIT_ASSERT(page.find("&lt;script&gt;") != std::string::npos);
        CPPUNIT_ASSERT(page.find("<polyline") != std::string::npos);
        for (const char *text : {"<script", "http://", "https://", "src=", "nan", "inf"})
            CPPUNIT_ASSERT_MESSAGE(text, page.find(text) == std::string::npos);
    }

    // Guards against a report from half a file or from another kind of file.
    void refusesDamagedSnapshots()
    {
        for (const char *text :
             {"", "a b", "a{b=\"c} 1", "a{b=\"c\"", "a{b} 1", "a 1 2", "{a=\"b\"} 1",
              "comfreypass_snapshot_time_seconds 5\n", "<html>", "a +Inf"})
            CPPUNIT_ASSERT_MESSAGE(text, !parseSnapshot(text));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(burn_report_test);
