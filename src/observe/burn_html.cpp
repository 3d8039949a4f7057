#include "observe/burn_html.h"

#include <algorithm>
#include <array>
#include <iomanip>
#include <ostream>
#include <sstream>
#include <string>

namespace comfreypass::observe {

namespace {

using dimension = burn_report::dimension;

constexpr std::array dimensions
    = {dimension::Tier, dimension::Team, dimension::Half, dimension::Upstream};

// Okabe-Ito palette, distinguishable with the common forms of colour blindness.
constexpr std::array<const char *, 7> lineColours
    = {"#0072b2", "#d55e00", "#009e73", "#cc79a7", "#56b4e9", "#e69f00", "#000000"};

constexpr const char *pageStart = R"html(<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>
body { font-family: sans-serif; margin: 2em auto; max-width: 60em; color: #222; }
table { border-collapse: collapse; width: 100%; margin-bottom: 1em; }
th, td { text-align: right; padding: 0.25em 0.6em; border-bottom: 1px solid #ccc; }
th:first-child, td:first-child { text-align: left; }
.fires { color: #b00020; font-weight: bold; }
svg { width: 100%; height: auto; }
</style></head><body>
)html";

std::string escapeHtml(std::string_view text)
{
    std::string escaped;
    for (const char character : text) {
        switch (character) {
        case '<':
            escaped += "&lt;";
            break;
        case '>':
            escaped += "&gt;";
            break;
        case '&':
            escaped += "&amp;";
            break;
        case '"':
            escaped += "&quot;";
            break;
        default:
            escaped += character;
        }
    }
    return escaped;
}

std::string formatFixed(double value, int digits)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(digits) << value;
    return text.str();
}

std::vector<const burn_report::row *> rowsOf(const burn_report &report, dimension kind)
{
    std::vector<const burn_report::row *> rows;
    for (const burn_report::row &row : report.rows) {
        if (row.kind == kind)
            rows.push_back(&row);
    }
    return rows;
}

void writeTable(const std::vector<const burn_report::row *> &rows, std::ostream &out)
{
    out << "<table><tr><th>name</th><th>requests</th><th>on time</th><th>burn rate</th>"
           "<th>30-day budget used</th>";
    for (const burn_report::rule &rule : burn_report::rules) {
        out << "<th>" << rule.action << " over " << rule.threshold << "<br>"
            << formatFixed(rule.longWindow.count() / 3'600, 0) << " h / "
            << formatFixed(rule.shortWindow.count() / 60, 0) << " min</th>";
    }
    out << "</tr>\n";
    for (const burn_report::row *row : rows) {
        const double share = row->total > 0 ? 100 * row->good / row->total : 100;
        out << "<tr><td>" << escapeHtml(row->name) << "</td><td>" << formatFixed(row->total, 0)
            << "</td><td>" << formatFixed(share, 2) << "%</td><td>" << formatFixed(row->rate, 2)
            << "</td><td>" << formatFixed(100 * row->budgetUsed, 2) << "%</td>";
        for (const burn_report::alert &alert : row->alerts) {
            out << (alert.fires ? "<td class=\"fires\">" : "<td>")
                << formatFixed(alert.longWindowBurn.rate, 2) << " / "
                << formatFixed(alert.shortWindowBurn.rate, 2) << "</td>";
        }
        out << "</tr>\n";
    }
    out << "</table>\n";
}

/** Draws the burn rate over time, with one line for each of the rows that burn fastest. */
class line_chart
{
public:
    line_chart(const burn_report &report, std::vector<const burn_report::row *> rows)
        : m_report(report), m_rows(std::move(rows))
    {
        std::stable_sort(m_rows.begin(), m_rows.end(),
                         [](const auto *a, const auto *b) { return a->rate > b->rate; });
        if (m_rows.size() > lineColours.size())
            m_rows.resize(lineColours.size());
        for (const burn_report::row *row : m_rows) {
            for (const burn_report::point &each : row->history)
                m_maxRate = std::max(m_maxRate, each.rate);
        }
    }

    void write(std::ostream &out) const
    {
        out << "<svg viewBox=\"0 0 " << width << ' ' << height
            << "\" role=\"img\" aria-label=\"burn rate over time\" font-size=\"12\">\n";
        writeAxes(out);
        for (std::size_t i = 0; i < m_rows.size(); ++i)
            writeLine(out, *m_rows[i], lineColours.at(i), i);
        out << "</svg>\n";
    }

private:
    static constexpr double width = 900;
    static constexpr double height = 260;
    static constexpr double left = 50;
    static constexpr double right = 690; // The legend is to the right of the plot area.
    static constexpr double top = 15;
    static constexpr double bottom = 230;

    double x(burn_report::seconds time) const
    {
        return left + (right - left) * ((time - m_report.from) / (m_report.to - m_report.from));
    }

    double y(double rate) const { return bottom - (bottom - top) * rate / m_maxRate; }

    void writeAxes(std::ostream &out) const
    {
        out << "<path d=\"M" << left << ' ' << top << " V" << bottom << " H" << right
            << "\" fill=\"none\" stroke=\"#444\"/>\n";
        for (const double rate : {0.0, 1.0, 6.0, 14.4, m_maxRate}) {
            if (rate > m_maxRate)
                continue;
            out << "<path d=\"M" << left << ' ' << formatFixed(y(rate), 1) << " H" << right
                << "\" stroke=\"#bbb\" stroke-dasharray=\"3 3\"/><text x=\"" << left - 6
                << "\" y=\"" << formatFixed(y(rate) + 4, 1) << "\" text-anchor=\"end\">"
                << formatFixed(rate, 1) << "</text>\n";
        }
        const double minutes = (m_report.to - m_report.from).count() / 60;
        out << "<text x=\"" << left << "\" y=\"" << bottom + 18 << "\">0 min</text><text x=\""
            << right << "\" y=\"" << bottom + 18 << "\" text-anchor=\"end\">"
            << formatFixed(minutes, 1) << " min</text>\n";
    }

    void writeLine(std::ostream &out, const burn_report::row &row, const char *colour,
                   std::size_t index) const
    {
        out << "<polyline fill=\"none\" stroke-width=\"2\" stroke=\"" << colour << "\" points=\"";
        for (const burn_report::point &each : row.history)
            out << formatFixed(x(each.time), 1) << ',' << formatFixed(y(each.rate), 1) << ' ';
        out << "\"/>\n";
        for (const burn_report::point &each : row.history) {
            out << "<circle r=\"2\" cx=\"" << formatFixed(x(each.time), 1) << "\" cy=\""
                << formatFixed(y(each.rate), 1) << "\" fill=\"" << colour << "\"/>";
        }
        constexpr double lineHeight = 18;
        const double position = top + 12 + lineHeight * static_cast<double>(index);
        out << "<text x=\"" << right + 15 << "\" y=\"" << position << "\" fill=\"" << colour
            << "\">" << escapeHtml(row.name) << " (" << formatFixed(row.rate, 2) << ")</text>\n";
    }

    const burn_report &m_report;
    std::vector<const burn_report::row *> m_rows;
    double m_maxRate = 2;
};

} // namespace

void writeBurnHtml(const burn_report &report, std::ostream &out)
{
    out << pageStart << "<h1>Service-level burn</h1>\n<p>Objective: " << 100 * report.objective
        << "% of requests answered on time. " << report.nodes.size() << " nodes, "
        << formatFixed((report.to - report.from).count() / 60, 1)
        << " minutes. A burn rate of 1 uses up the budget of 30 days in 30 days. An alert fires if "
           "both windows exceed its threshold; it is shown in bold.</p>\n";
    if (!report.ignoredNodes.empty()) {
        out << "<p>Ignored, because there is only one snapshot:";
        for (const core::node_name &node : report.ignoredNodes)
            out << ' ' << escapeHtml(node.text());
        out << "</p>\n";
    }
    for (const dimension kind : dimensions) {
        const auto rows = rowsOf(report, kind);
        if (rows.empty())
            continue;
        out << "<h2>By " << toString(kind) << "</h2>\n";
        line_chart(report, rows).write(out);
        writeTable(rows, out);
    }
    out << "</body></html>\n";
}

} // namespace comfreypass::observe
