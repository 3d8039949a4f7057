#include "observe/burn_json.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

namespace comfreypass::observe {

namespace {

boost::json::string_view toJsonView(std::string_view text)
{
    return {text.data(), text.size()};
}

boost::json::array nodeNames(const std::vector<core::node_name> &nodes)
{
    boost::json::array array;
    for (const core::node_name &node : nodes)
        array.emplace_back(node.text());
    return array;
}

boost::json::object writeWindowBurnRate(burn_report::seconds window,
                                        const burn_report::window_burn_rate &value)
{
    return {{"window_seconds", window.count()},
            {"covered_seconds", value.covered.count()},
            {"burn_rate", value.rate}};
}

boost::json::object writeRow(const burn_report::row &row)
{
    boost::json::array alerts;
    for (std::size_t i = 0; i < burn_report::rules.size(); ++i) {
        const burn_report::rule &rule = burn_report::rules.at(i);
        const burn_report::alert &alert = row.alerts.at(i);
        alerts.push_back({{"action", toJsonView(rule.action)},
                          {"threshold", rule.threshold},
                          {"fires", alert.fires},
                          {"long", writeWindowBurnRate(rule.longWindow, alert.longWindowBurn)},
                          {"short", writeWindowBurnRate(rule.shortWindow, alert.shortWindowBurn)}});
    }
    boost::json::array history;
    for (const burn_report::point &each : row.history)
        history.push_back({{"time", each.time.count()}, {"burn_rate", each.rate}});
    return {{"dimension", toJsonView(toString(row.kind))},
            {"name", row.name},
            {"requests", row.total},
            {"good", row.good},
            {"burn_rate", row.rate},
            {"budget_used", row.budgetUsed},
            {"alerts", std::move(alerts)},
            {"history", std::move(history)}};
}

} // namespace

boost::json::value writeBurnJson(const burn_report &report)
{
    boost::json::array rows;
    for (const burn_report::row &row : report.rows)
        rows.push_back(writeRow(row));
    return {{"objective", report.objective},
            {"from", report.from.count()},
            {"to", report.to.count()},
            {"nodes", nodeNames(report.nodes)},
            {"ignored_nodes", nodeNames(report.ignoredNodes)},
            {"rows", std::move(rows)}};
}

} // namespace comfreypass::observe
