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
 * How fast the error budget is used, by tier, team, half and upstream.
 *
 * A request is good if it was answered whole before its deadline. Requests refused for a
 * limit of their own team do not count. A burn rate of 1 uses up the budget of 30 days in 30 days.
 */
struct burn_report
{
    using seconds = std::chrono::duration<double>;

    enum class dimension : std::uint8_t { Tier, Team, Half, Upstream };

    /** Fires if the burn rate exceeds the threshold in both windows. */
    struct rule
    {
        seconds longWindow;
        seconds shortWindow;
        double threshold;
        /** Who is told: "page" or "ticket". */
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
        /** Time that the snapshots cover; it differs from the window if snapshots are few. */
        seconds covered{0};
    };

    struct alert
    {
        window_burn_rate inLong;
        window_burn_rate inShort;
        bool fires = false;
    };

    struct point
    {
        /** Wall-clock time since 1970, at the end of the interval. */
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
        /** Share of the budget of 30 days used between the first and the last snapshot. */
        double budgetUsed = 0;
        /** In the order of `rules`. */
        std::array<alert, rules.size()> alerts;
        std::vector<point> history;
    };

    double objective = 0;
    seconds from{0};
    seconds to{0};
    std::vector<core::node_name> nodes;
    /** Nodes with only one snapshot; they add nothing. */
    std::vector<core::node_name> ignoredNodes;
    /** By dimension, then by name. */
    std::vector<row> rows;

    /** True if a rule with this action fires in any row. */
    bool fires(std::string_view action) const;
};

/** Stable lower-case word for a dimension. Thread-safe. */
std::string_view toString(burn_report::dimension kind) noexcept;

/**
 * Computes the report from snapshots in any order.
 *
 * Precondition: 0 < objective < 1. Errors: InvalidArgument if no node has two snapshots of
 * different times. Thread-safe.
 */
core::result<burn_report> makeBurnReport(std::span<const metrics_snapshot> snapshots,
                                         double objective);

} // namespace comfreypass::observe
