#pragma once

#include "observe/metrics_snapshot.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace comfreypass::observe {

/**
 * Error budget burn rates by tier, team, half and upstream.
 *
 * A request is good if its response was complete before the deadline. Requests refused because of
 * their own team's limit are not counted. A burn rate of 1 spends the 30-day budget in 30 days.
 */
struct burn_report
{
    using seconds = std::chrono::duration<double>;

    enum class dimension : std::uint8_t { Tier, Team, Half, Upstream };

    /** Alerting rule that fires if the burn rate exceeds the threshold in both windows. */
    struct rule
    {
        seconds longWindow;
        seconds shortWindow;
        double threshold;
        /** Kind of notification: "page" or "ticket". */
        std::string_view action;
    };

    /** Windows and thresholds of the SRE Workbook, chapter "Alerting on SLOs". */
    static constexpr std::array<rule, 3> rules = {{
        {seconds(3'600), seconds(300), 14.4, "page"},
        {seconds(21'600), seconds(1'800), 6.0, "page"},
        {seconds(259'200), seconds(21'600), 1.0, "ticket"},
    }};

    static constexpr seconds budgetPeriod{30 * 86'400.0};

    /** Burn rate within a window. */
    struct window_burn_rate
    {
        double rate = 0;
        /** Time between the snapshots that were used; differs from the window if there are few. */
        seconds covered{0};
    };

    struct alert
    {
        window_burn_rate longWindowBurn;
        window_burn_rate shortWindowBurn;
        bool fires = false;
    };

    struct point
    {
        /** Wall-clock time since the Unix epoch, at the end of the interval. */
        seconds time;
        double rate = 0;
    };

    struct row
    {
        dimension kind = dimension::Tier;
        std::string name;
        double total = 0;
        double good = 0;
        /** Burn rate from the first to the last snapshot. */
        double rate = 0;
        /** Fraction of the 30-day budget spent between the first and the last snapshot. */
        double budgetUsed = 0;
        /** In the order of `rules`. */
        std::array<alert, rules.size()> alerts;
        std::vector<point> history;
    };

    double objective = 0;
    seconds from{0};
    seconds to{0};
    std::vector<core::node_name> nodes;
    /** Nodes with a single snapshot, which are excluded from the report. */
    std::vector<core::node_name> ignoredNodes;
    /** Sorted by dimension, then by name. */
    std::vector<row> rows;

    /** Returns true if a rule with this action fires in any row. */
    bool fires(std::string_view action) const;
};

/** Returns the stable lower-case name of a dimension. Thread-safe. */
std::string_view toString(burn_report::dimension kind) noexcept;

/**
 * Computes the report from snapshots in any order.
 *
 * Precondition: 0 < objective < 1. Errors: InvalidArgument if no node has two snapshots with
 * different times. Thread-safe.
 */
core::result<burn_report> makeBurnReport(std::span<const metrics_snapshot> snapshots,
                                         double objective);

} // namespace comfreypass::observe
