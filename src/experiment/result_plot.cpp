#include "experiment/result_plot.h"

#include <algorithm>
#include <array>
#include <ostream>
#include <string>
#include <vector>

namespace comfreypass::experiment {

namespace {

constexpr double width = 640;
constexpr double height = 400;
constexpr double left = 60;
constexpr double right = 480;
constexpr double top = 20;
constexpr double bottom = 350;
constexpr int gridLines = 5;
constexpr double lineHeight = 18;

// Palette by Okabe and Ito, distinguishable with the common forms of colour blindness.
constexpr std::array<const char *, 6> colours
    = {"#0072b2", "#d55e00", "#009e73", "#cc79a7", "#56b4e9", "#000000"};

double yOf(double fraction)
{
    return bottom - fraction * (bottom - top);
}

void writeText(std::ostream &out, double x, double y, const std::string &anchor,
               const std::string &text)
{
    out << "<text x=\"" << x << "\" y=\"" << y << "\" text-anchor=\"" << anchor << "\">" << text
        << "</text>\n";
}

std::string shortNumber(double value)
{
    std::string text = std::to_string(value);
    text.erase(text.find('.') + 3);
    return text;
}

} // namespace

void writePlot(std::ostream &out, std::span<const run_result> results)
{
    std::vector<std::string> policies;
    double maxLoad = 0;
    for (const run_result &each : results) {
        if (std::ranges::find(policies, each.policy) == policies.end())
            policies.push_back(each.policy);
        maxLoad = std::max(maxLoad, each.load);
    }
    const auto xOf = [maxLoad](double load) {
        return left + (maxLoad > 0 ? load / maxLoad : 0) * (right - left);
    };
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 " << width << ' ' << height
        << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
        << "<rect width=\"100%\" height=\"100%\" fill=\"#fff\"/>\n";
    for (int i = 0; i <= gridLines; ++i) {
        const double fraction = static_cast<double>(i) / gridLines;
        out << "<line x1=\"" << left << "\" x2=\"" << right << "\" y1=\"" << yOf(fraction)
            << "\" y2=\"" << yOf(fraction) << "\" stroke=\"#ddd\"/>\n";
        writeText(out, left - 6, yOf(fraction) + 4, "end", shortNumber(fraction));
        writeText(out, xOf(fraction * maxLoad), bottom + 16, "middle",
                  shortNumber(fraction * maxLoad));
    }
    writeText(out, (left + right) / 2, bottom + 36, "middle", "load");
    writeText(out, left, top - 6, "start", "worth on time, part of all");
    for (std::size_t i = 0; i < policies.size(); ++i) {
        const char *colour = colours.at(i % colours.size());
        std::vector<const run_result *> points;
        for (const run_result &each : results) {
            if (each.policy == policies[i])
                points.push_back(&each);
        }
        std::ranges::sort(points, {}, &run_result::load);
        out << "<polyline fill=\"none\" stroke-width=\"2\" stroke=\"" << colour << "\" points=\"";
        for (const run_result *each : points)
            out << xOf(each->load) << ',' << yOf(each->goodput) << ' ';
        out << "\"/>\n";
        for (const run_result *each : points)
            out << "<circle r=\"3\" cx=\"" << xOf(each->load) << "\" cy=\"" << yOf(each->goodput)
                << "\" fill=\"" << colour << "\"/>\n";
        const double y = top + lineHeight * static_cast<double>(i + 1);
        out << "<rect x=\"" << right + 12 << "\" y=\"" << y - 9
            << "\" width=\"10\" height=\"10\" fill=\"" << colour << "\"/>\n";
        writeText(out, right + 28, y, "start", policies[i]);
    }
    out << "</svg>\n";
}

} // namespace comfreypass::experiment
