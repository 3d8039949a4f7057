#include "app/report_command.h"

#include "app/exit_code.h"
#include "app/text_file.h"
#include "app/text_table.h"
#include "observe/burn_html.h"
#include "observe/burn_json.h"
#include "observe/burn_report.h"

#include <CLI/CLI.hpp>
#include <boost/json/serialize.hpp>

#include <cmath>
#include <cstdio>
#include <map>
#include <ostream>
#include <utility>

namespace comfreypass::app {

namespace {

using observe::burn_report;

std::string twoDecimals(double value)
{
    std::string text(32, '\0');
    text.resize(static_cast<std::size_t>(std::snprintf(text.data(), text.size(), "%.2f", value)));
    return text;
}

std::string firingActions(const burn_report::row &row, const console &terminal)
{
    std::string actions;
    for (std::size_t i = 0; i < burn_report::rules.size(); ++i) {
        if (!row.alerts.at(i).fires)
            continue;
        const burn_report::rule &rule = burn_report::rules.at(i);
        actions += (actions.empty() ? "" : ", ") + std::string(rule.action) + " over "
                   + twoDecimals(rule.threshold);
    }
    return actions.empty() ? "-" : terminal.coloured(actions, console::colour::Red);
}

void writeTable(const burn_report &report, console &terminal)
{
    terminal.out() << "objective " << 100 * report.objective << "%, " << report.nodes.size()
                   << " nodes, " << twoDecimals((report.to - report.from).count() / 60)
                   << " minutes\n";
    for (const core::node_name &node : report.ignoredNodes)
        terminal.out() << node.text() << " is ignored: only one snapshot\n";
    text_table table({"BY", "NAME", "REQUESTS", "ON TIME", "BURN", "BURN 1H/5M", "BURN 6H/30M",
                      "BURN 3D/6H", "30-DAY BUDGET", "ALERTS"});
    for (const burn_report::row &row : report.rows) {
        const double goodFraction = row.total > 0 ? row.good / row.total : 1;
        std::vector<std::string> cells
            = {std::string(toString(row.kind)), row.name, std::to_string(std::llround(row.total)),
               twoDecimals(100 * goodFraction) + "%", twoDecimals(row.rate)};
        for (const burn_report::alert &alert : row.alerts)
            cells.push_back(twoDecimals(alert.longWindowBurn.rate) + "/"
                            + twoDecimals(alert.shortWindowBurn.rate));
        cells.push_back(twoDecimals(100 * row.budgetUsed) + "%");
        cells.push_back(firingActions(row, terminal));
        table.addRow(std::move(cells));
    }
    table.write(terminal.out());
}

core::result<observe::metrics_snapshot> readSnapshot(const std::string &path)
{
    const auto text = readTextFile(path, observe::metrics_snapshot::maxBytes);
    if (!text)
        return text.error();
    auto snapshot = observe::parseSnapshot(text.value());
    if (snapshot)
        return snapshot;
    core::error error = snapshot.error();
    error.where = error.where.empty() ? path : path + ", " + error.where;
    return error;
}

} // namespace

void report_command::addOptions(CLI::App &options)
{
    static const std::map<std::string, report_format> names = {{"table", report_format::Table},
                                                               {"json", report_format::Json},
                                                               {"html", report_format::Html}};
    constexpr double minObjective = 0.01;
    constexpr double maxObjective = 0.99999;
    options
        .add_option("snapshots", m_paths,
                    "Saved metrics of the nodes (at least two files per node)")
        ->required();
    options
        .add_option("--objective", m_objective,
                    "Objective for the fraction of requests on time (default 0.99)")
        ->check(CLI::Range(minObjective, maxObjective))
        ->option_text("0.01-0.99999");
    options
        .add_option("--output", m_format,
                    "Output format: table (default), json, or html (one page with charts)")
        ->transform(CLI::CheckedTransformer(names))
        ->option_text("table|json|html");
}

int report_command::run(console &terminal)
{
    std::vector<observe::metrics_snapshot> snapshots;
    bool isReadable = true;
    for (const std::string &path : m_paths) {
        auto snapshot = readSnapshot(path);
        if (snapshot) {
            snapshots.push_back(std::move(snapshot).value());
            continue;
        }
        terminal.err() << describe(snapshot.error()) << '\n';
        isReadable = false;
    }
    if (!isReadable)
        return InvalidInput;
    const auto report = observe::makeBurnReport(snapshots, m_objective);
    if (!report) {
        terminal.err() << describe(report.error()) << '\n';
        return InvalidInput;
    }
    if (m_format == report_format::Json)
        terminal.out() << boost::json::serialize(observe::writeBurnJson(report.value())) << '\n';
    else if (m_format == report_format::Html)
        observe::writeBurnHtml(report.value(), terminal.out());
    else
        writeTable(report.value(), terminal);
    return report.value().fires("page") ? BudgetBurning : Success;
}

} // namespace comfreypass::app
