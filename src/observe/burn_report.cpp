#include "observe/burn_report.h"

#include "core/invariant.h"
#include "observe/metric_info.h"

#include <algorithm>
#include <map>
#include <utility>

namespace comfreypass::observe {

namespace {

using dimension = burn_report::dimension;
using seconds = burn_report::seconds;
using series_key = std::pair<dimension, std::string>;

struct request_counts
{
    double total = 0;
    double good = 0;

    request_counts &operator+=(const request_counts &other)
    {
        total += other.total;
        good += other.good;
        return *this;
    }

    request_counts operator-(const request_counts &other) const
    {
        return {total - other.total, good - other.good};
    }
};

using count_map = std::map<series_key, request_counts>;

/** Sums the samples of one snapshot by each dimension. */
count_map countsOf(const metrics_snapshot &snapshot)
{
    count_map counts;
    for (const metrics_snapshot::sample &each : snapshot.samples) {
        const bool isGood = each.name == describe(metric::OnTimeRequests).name
                            || each.name == describe(metric::TeamOnTimeRequests).name;
        const auto add = [&](dimension kind, std::string_view label) {
            request_counts &target = counts[{kind, std::string(each.label(label))}];
            (isGood ? target.good : target.total) += each.value;
        };
        if (each.label("upstream").empty()) {
            add(dimension::Tier, "tier");
            add(dimension::Team, "team");
            add(dimension::Half, "half");
        } else if (each.label("reason") != "team_limit") {
            add(dimension::Upstream, "upstream");
        }
    }
    return counts;
}

/** Requests that ended between two snapshots of a node; `time` is that of the later snapshot. */
struct request_delta
{
    seconds time;
    request_counts counts;
};

/** Collects the counter increases between the snapshots of each node and computes the rows. */
class burn_computation
{
public:
    /** Adds the snapshots of one node. Precondition: they are sorted by time. */
    void addNode(const std::vector<const metrics_snapshot *> &snapshots)
    {
        std::vector<seconds> times;
        count_map previousCounts;
        const metrics_snapshot *previous = nullptr;
        for (const metrics_snapshot *each : snapshots) {
            // Counters restart at 0 with the process.
            if (previous != nullptr && each->incarnation != previous->incarnation)
                previousCounts.clear();
            count_map now = countsOf(*each);
            if (previous != nullptr) {
                for (const auto &[key, counts] : now)
                    addDelta(key, {each->time, counts - previousCounts[key]});
            }
            times.push_back(each->time);
            previousCounts = std::move(now);
            previous = each;
        }
        m_from = m_times.empty() ? times.front() : std::min(m_from, times.front());
        m_to = m_times.empty() ? times.back() : std::max(m_to, times.back());
        m_times.push_back(std::move(times));
    }

    void fill(burn_report &report, double objective) const
    {
        report.objective = objective;
        report.from = m_from;
        report.to = m_to;
        for (const auto &[key, deltas] : m_deltas)
            report.rows.push_back(makeRow(key, deltas, objective));
    }

private:
    // About one point per 11 pixels of a chart that is about 700 pixels wide.
    static constexpr int historyIntervals = 60;

    using delta_list = std::vector<request_delta>;

    void addDelta(const series_key &key, const request_delta &delta)
    {
        if (delta.counts.total > 0 || delta.counts.good > 0)
            m_deltas[key].push_back(delta);
    }

    burn_report::row makeRow(const series_key &key, const delta_list &deltas,
                             double objective) const
    {
        const request_counts overall = countsBetween(deltas, m_from, m_to);
        burn_report::row row;
        row.kind = key.first;
        row.name = key.second;
        row.total = overall.total;
        row.good = overall.good;
        row.rate = burnRate(overall, objective);
        row.budgetUsed = row.rate * ((m_to - m_from) / burn_report::budgetPeriod);
        for (std::size_t i = 0; i < burn_report::rules.size(); ++i) {
            const burn_report::rule &rule = burn_report::rules.at(i);
            burn_report::alert &alert = row.alerts.at(i);
            alert.longWindowBurn = measureWindow(deltas, rule.longWindow, objective);
            alert.shortWindowBurn = measureWindow(deltas, rule.shortWindow, objective);
            alert.fires = alert.longWindowBurn.rate > rule.threshold
                          && alert.shortWindowBurn.rate > rule.threshold;
        }
        seconds start = m_from;
        for (int i = 1; i <= historyIntervals; ++i) {
            const seconds end
                = i == historyIntervals ? m_to : m_from + (m_to - m_from) * i / historyIntervals;
            const request_counts counts = countsBetween(deltas, start, end);
            if (counts.total > 0)
                row.history.push_back({end, burnRate(counts, objective)});
            start = end;
        }
        return row;
    }

    burn_report::window_burn_rate measureWindow(const delta_list &deltas, seconds window,
                                                double objective) const
    {
        const seconds start = m_to - window;
        return {burnRate(countsBetween(deltas, start, m_to), objective), m_to - coveredFrom(start)};
    }

    /** Returns the start of the earliest interval between snapshots that ends after `start`. */
    seconds coveredFrom(seconds start) const
    {
        seconds earliest = m_to;
        for (const std::vector<seconds> &times : m_times) {
            const auto after = std::upper_bound(times.begin(), times.end(), start);
            if (after != times.end())
                earliest = std::min(earliest, after == times.begin() ? *after : *std::prev(after));
        }
        return earliest;
    }

    /** Sums the intervals between snapshots that end in (start, end]. */
    static request_counts countsBetween(const delta_list &deltas, seconds start, seconds end)
    {
        request_counts sum;
        for (const request_delta &each : deltas) {
            if (each.time > start && each.time <= end)
                sum += each.counts;
        }
        return sum;
    }

    static double burnRate(const request_counts &counts, double objective)
    {
        if (counts.total <= 0)
            return 0;
        const double errors = std::max(counts.total - counts.good, 0.0) / counts.total;
        return errors / (1 - objective);
    }

    std::map<series_key, delta_list> m_deltas;
    /** Times of the snapshots of each node. */
    std::vector<std::vector<seconds>> m_times;
    seconds m_from{0};
    seconds m_to{0};
};

} // namespace

std::string_view toString(dimension kind) noexcept
{
    static constexpr std::array<std::string_view, 4> names = {"tier", "team", "half", "upstream"};
    return names.at(static_cast<std::size_t>(kind));
}

bool burn_report::fires(std::string_view action) const
{
    return std::any_of(rows.begin(), rows.end(), [&](const row &each) {
        for (std::size_t i = 0; i < rules.size(); ++i) {
            if (each.alerts.at(i).fires && rules.at(i).action == action)
                return true;
        }
        return false;
    });
}

core::result<burn_report> makeBurnReport(std::span<const metrics_snapshot> snapshots,
                                         double objective)
{
    COMFREYPASS_INVARIANT(objective > 0 && objective < 1);
    std::map<core::node_name, std::vector<const metrics_snapshot *>> byNode;
    for (const metrics_snapshot &each : snapshots)
        byNode[each.node].push_back(&each);

    burn_report report;
    burn_computation computation;
    for (auto &[node, list] : byNode) {
        std::sort(list.begin(), list.end(),
                  [](const auto *a, const auto *b) { return a->time < b->time; });
        if (list.front()->time == list.back()->time) {
            report.ignoredNodes.push_back(node);
            continue;
        }
        report.nodes.push_back(node);
        computation.addNode(list);
    }
    if (report.nodes.empty()) {
        return core::error{core::errc::InvalidArgument,
                           {},
                           "no node has two snapshots with different times",
                           "save GET /metrics of each node at least twice"};
    }
    computation.fill(report, objective);
    return report;
}

} // namespace comfreypass::observe
