#include "app/experiment_command.h"

#include "app/exit_code.h"
#include "app/text_file.h"
#include "app/text_table.h"
#include "experiment/parse_plan.h"
#include "experiment/policy.h"
#include "experiment/result_plot.h"
#include "experiment/simulation.h"

#include <CLI/CLI.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <chrono>
#include <fstream>
#include <iomanip>
#include <ostream>
#include <set>
#include <sstream>

namespace comfreypass::app {

namespace {

namespace json = boost::json;
using experiment::profile_result;
using experiment::run_result;

std::string decimal(double value)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(3) << value;
    return text.str();
}

std::int64_t milliseconds(core::duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

void writeTables(std::ostream &out, const std::vector<run_result> &results)
{
    text_table runs({"LOAD", "POLICY", "GOODPUT", "WASTED PROMPT", "MOST CROWDED"});
    text_table kinds({"LOAD", "POLICY", "REQUESTS", "ASKED", "ON TIME", "LATE", "REFUSED", "FAILED",
                      "FIRST P50 MS", "P99 MS"});
    for (const run_result &run : results) {
        runs.addRow({decimal(run.load), run.policy, decimal(run.goodput), decimal(run.wastedPrompt),
                     decimal(run.maxRelativeLoad)});
        for (const profile_result &each : run.profiles)
            kinds.addRow({decimal(run.load), run.policy, each.name, std::to_string(each.requested),
                          std::to_string(each.onTime), std::to_string(each.late),
                          std::to_string(each.refused), std::to_string(each.failed),
                          std::to_string(milliseconds(each.medianFirst)),
                          std::to_string(milliseconds(each.p99First))});
    }
    runs.write(out);
    out << '\n';
    kinds.write(out);
}

json::object asJson(const run_result &run)
{
    json::array profiles;
    for (const profile_result &each : run.profiles)
        profiles.push_back({{"name", each.name},
                            {"asked", each.requested},
                            {"on_time", each.onTime},
                            {"late", each.late},
                            {"refused", each.refused},
                            {"failed", each.failed},
                            {"first_p50_ms", milliseconds(each.medianFirst)},
                            {"first_p99_ms", milliseconds(each.p99First)}});
    return {{"policy", run.policy},
            {"load", run.load},
            {"goodput", run.goodput},
            {"wasted_prompt", run.wastedPrompt},
            {"most_crowded", run.maxRelativeLoad},
            {"requests", std::move(profiles)}};
}

} // namespace

void experiment_command::addOptions(CLI::App &options)
{
    std::set<std::string> names;
    for (const experiment::policy &each : experiment::policies())
        names.emplace(each.name);
    options.add_option("plan", m_planPath, "Plan file")->required();
    options.add_option("--policy", m_policies, "Policies to simulate (default: all)")
        ->check(CLI::IsMember(names));
    options.add_option("--plot", m_plotPath,
                       "Write an SVG plot of the goodput over the load to this file");
    addOutputOption(options, m_format);
}

int experiment_command::run(console &terminal)
{
    const auto text = readTextFile(m_planPath, experiment::maxPlanBytes);
    if (!text) {
        terminal.err() << describe(text.error()) << '\n';
        return InvalidInput;
    }
    const auto plan = experiment::parsePlan(text.value());
    if (!plan) {
        for (const core::error &each : plan.error())
            terminal.err() << m_planPath << ": " << describe(each) << '\n';
        return InvalidInput;
    }
    const std::vector<run_result> results = experiment::simulateAll(plan.value(), m_policies);
    if (m_format == output_format::Json) {
        json::array runs;
        for (const run_result &each : results)
            runs.push_back(asJson(each));
        terminal.out() << json::serialize(json::object{{"runs", std::move(runs)}}) << '\n';
    } else {
        writeTables(terminal.out(), results);
    }
    if (m_plotPath.empty())
        return Success;
    std::ofstream plot(m_plotPath);
    experiment::writePlot(plot, results);
    plot.flush();
    if (!plot) {
        terminal.err() << m_plotPath << ": cannot be written; check the directory\n";
        return Failure;
    }
    return Success;
}

} // namespace comfreypass::app
