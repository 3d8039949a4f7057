// Measures the goodput by tier, the wasted prefill and the recovery time of the pool scheduler and
// of four baseline policies. All run the same requests on simulated engines in virtual time. The
// seeds are fixed, so the results do not depend on the host. The simulation has no cold starts: an
// engine is as fast after an outage as before, so ignoring cold starts does not penalize the
// baselines.
#include "policy/policy_run.h"
#include "policy/tally.h"
#include "policy/workload.h"

#include <CLI/CLI.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

using namespace comfreypass;
namespace json = boost::json;

namespace {

using outcome = policy_run::outcome;
using policy = std::optional<baseline::rule>;

constexpr std::array<std::uint64_t, 3> seeds{1, 2, 3};
constexpr std::array loads{0.8, 1.0, 1.5, 3.0};
constexpr std::array<policy, 5> policies{std::nullopt, baseline::rule::Random,
                                         baseline::rule::RoundRobin, baseline::rule::LeastReported,
                                         baseline::rule::TwoChoices};
constexpr double baseLoad = 0.8;
constexpr double burstLoad = 3;
/** Earlier arrivals are not counted because the scheduler starts with cold engines. */
constexpr core::time_point warmUpEnd{std::chrono::seconds{60}};
constexpr core::time_point loadEnd{std::chrono::seconds{360}};
/** End of the interval before an event; most requests that arrive in it end before the event. */
constexpr core::time_point beforeEnd{std::chrono::seconds{150}};
/** Start of the outage or of the burst. */
constexpr core::time_point eventBegin{std::chrono::seconds{180}};
constexpr core::time_point outageEnd{std::chrono::seconds{240}};
constexpr core::time_point burstEnd{std::chrono::seconds{190}};
constexpr core::time_point eventRunEnd{std::chrono::seconds{480}};
constexpr std::size_t failingEngines = workload::engineCount / 3;
/**
 * The fleet has recovered in the first window whose on-time share is at most `maxLevelDeficit`
 * below the share before the event.
 */
constexpr std::chrono::seconds window{10};
constexpr double maxLevelDeficit = 0.02;
constexpr double percent = 100;

/** Requests and results of one policy for all seeds. */
struct policy_result
{
    std::vector<std::vector<sample_request>> requests;
    std::vector<std::vector<policy_run::request_result>> results;

    tally count(core::time_point begin, core::time_point end) const
    {
        tally total;
        for (std::size_t i = 0; i < requests.size(); ++i)
            total.add(requests[i], results[i], begin, end);
        return total;
    }
};

std::string_view nameOf(const policy &which)
{
    return which ? baseline::toString(*which) : "comfreypass";
}

policy_result runAll(const policy &which, const std::vector<workload::phase> &phases,
                     core::time_point end, std::optional<policy_run::outage> out)
{
    policy_result all;
    for (const std::uint64_t seed : seeds) {
        all.requests.push_back(workload::make(phases, end, seed));
        all.results.push_back(policy_run(all.requests.back(), which, out, seed).run());
    }
    return all;
}

json::object rowOf(std::string_view policyName, const tally &counted)
{
    json::array tiers;
    for (core::tier tier = 0; tier < core::tierCount; ++tier)
        tiers.push_back(percent * counted.onTime(tier));
    return {{"policy", policyName},
            {"on_time_percent_by_tier", tiers},
            {"on_time_percent", percent * counted.onTime()},
            {"requests", counted.requests()},
            {"late", counted.count(outcome::Late)},
            {"wasted_prefill_share", counted.wasted()},
            {"wasted_prefill_share_preempted", counted.wasted(outcome::Preempted)},
            {"wasted_prefill_share_late", counted.wasted(outcome::Late)},
            {"preempted", counted.count(outcome::Preempted)},
            {"refused", counted.count(outcome::Refused)},
            {"failed", counted.count(outcome::Failed)}};
}

void printHeader(const char *first, const char *last)
{
    std::printf("%-9s %-15s %6s %6s %6s %6s %6s %6s %6s %8s %8s %6s %7s %7s %s\n", first, "policy",
                "tier0%", "tier1%", "tier2%", "tier3%", "tier4%", "total%", "late", "waste%",
                "w.preem%", "preem.", "refused", "failed", last);
}

void printRow(const std::string &first, std::string_view policyName, const tally &counted,
              const std::string &last)
{
    std::printf("%-9s %-15s", first.c_str(), std::string(policyName).c_str());
    for (core::tier tier = 0; tier < core::tierCount; ++tier)
        std::printf(" %6.1f", percent * counted.onTime(tier));
    std::printf(" %6.1f %6zu %8.2f %8.2f %6zu %7zu %7zu %s\n", percent * counted.onTime(),
                counted.count(outcome::Late), percent * counted.wasted(),
                percent * counted.wasted(outcome::Preempted), counted.count(outcome::Preempted),
                counted.count(outcome::Refused), counted.count(outcome::Failed), last.c_str());
}

std::string fixed(double value, int digits)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.*f", digits, value);
    return text.data();
}

/**
 * Returns the seconds from `end` until the total on-time share is back at `level`; nothing if the
 * run ends before.
 */
std::optional<std::int64_t> recoverySeconds(const policy_result &result, double level,
                                            core::time_point end)
{
    for (core::time_point begin = end; begin + window <= eventRunEnd;
         begin += std::chrono::seconds{1}) {
        if (result.count(begin, begin + window).onTime() >= level - maxLevelDeficit)
            return std::chrono::duration_cast<std::chrono::seconds>(begin - end).count();
    }
    return std::nullopt;
}

/** Prints and returns the results before, during and after an event for each policy. */
json::array measureEvent(const char *name, const std::vector<workload::phase> &phases,
                         core::time_point end, std::optional<policy_run::outage> out,
                         std::optional<tally> &schedulerDuring)
{
    std::printf("\n%s at %.1f times the capacity; level of before: %lld s window, at most %.0f "
                "points below\n",
                name, baseLoad, static_cast<long long>(window.count()), percent * maxLevelDeficit);
    printHeader("span", "recovery_s");
    json::array rows;
    for (const policy &which : policies) {
        const policy_result result = runAll(which, phases, eventRunEnd, out);
        const tally before = result.count(warmUpEnd, beforeEnd);
        const tally during = result.count(eventBegin, end);
        const tally after = result.count(end, eventRunEnd);
        const auto seconds = recoverySeconds(result, before.onTime(), end);
        printRow("before", nameOf(which), before, "");
        printRow("during", nameOf(which), during, "");
        printRow("after", nameOf(which), after, seconds ? std::to_string(*seconds) : "not reached");
        rows.push_back({{"policy", nameOf(which)},
                        {"before", rowOf(nameOf(which), before)},
                        {"during", rowOf(nameOf(which), during)},
                        {"after", rowOf(nameOf(which), after)},
                        {"recovery_seconds", seconds ? json::value(*seconds) : json::value()}});
        if (!which)
            schedulerDuring = during;
    }
    return rows;
}

json::object target(const std::string &name, double wanted, double figure, bool met)
{
    std::printf("%-62s target %.4f figure %.4f %s\n", name.c_str(), wanted, figure,
                met ? "met" : "MISSED");
    return {{"target", name}, {"wanted", wanted}, {"figure", figure}, {"met", met}};
}

json::object measure()
{
    json::object report{{"capacity_requests_per_second", workload::capacity()}};
    std::printf("capacity %.1f requests/s; seeds 1 to 3 together; arrivals from 60 s to 360 s\n"
                "bound: greatest on-time share if work were divisible, which no scheduler beats\n",
                workload::capacity());
    printHeader("load", "bound% ratio");
    json::array rows;
    std::map<double, tally> schedulerResults;
    std::map<double, double> ratios;
    std::map<double, double> minWaste;
    for (const double load : loads) {
        const std::vector<workload::phase> phases{{core::time_point{}, load}};
        for (const policy &which : policies) {
            const policy_result result = runAll(which, phases, loadEnd, std::nullopt);
            const tally counted = result.count(warmUpEnd, loadEnd);
            double bound = 0;
            for (const auto &requests : result.requests) {
                tally one;
                one.add(requests, std::vector<policy_run::request_result>(requests.size()),
                        warmUpEnd, loadEnd);
                bound += workload::bound(requests, warmUpEnd, loadEnd)
                         * static_cast<double>(one.requests())
                         / static_cast<double>(counted.requests());
            }
            const double ratio = counted.onTime() / bound;
            printRow(fixed(load, 1), nameOf(which), counted,
                     fixed(percent * bound, 1) + " " + fixed(ratio, 3));
            json::object row = rowOf(nameOf(which), counted);
            row["load"] = load;
            row["bound_percent"] = percent * bound;
            row["ratio_to_bound"] = ratio;
            rows.push_back(row);
            if (!which) {
                schedulerResults.emplace(load, counted);
                ratios[load] = ratio;
            } else {
                const auto entry = minWaste.try_emplace(load, counted.wasted()).first;
                entry->second = std::min(entry->second, counted.wasted());
            }
        }
    }
    report["loads"] = rows;

    std::optional<tally> outage;
    std::optional<tally> burst;
    const policy_run::outage out{failingEngines, eventBegin, outageEnd};
    report["domain_outage"] = measureEvent(
        "failure domain out for 60 s", {{core::time_point{}, baseLoad}}, outageEnd, out, outage);
    report["burst"] = measureEvent(
        "burst of 3 times the capacity for 10 s",
        {{core::time_point{}, baseLoad}, {eventBegin, burstLoad}, {burstEnd, baseLoad}}, burstEnd,
        std::nullopt, burst);

    std::printf("\n");
    json::array targets;
    const double top = schedulerResults.at(3.0).onTime(0) / schedulerResults.at(0.8).onTime(0);
    targets.push_back(target("tier 0 at 3 times capacity over its level at 0.8, at least", 0.99,
                             top, top >= 0.99));
    targets.push_back(target("total on time at 1.5 times capacity over the bound, at least", 0.9,
                             ratios[1.5], ratios[1.5] >= 0.9));
    for (const double load : loads) {
        const double wanted = minWaste[load] / 2;
        const double figure = schedulerResults.at(load).wasted();
        targets.push_back(target("wasted prefill share at " + fixed(load, 1)
                                     + ", at most half of the best baseline",
                                 wanted, figure, figure <= wanted));
    }
    const double during = outage->onTimeDownTo(1);
    targets.push_back(target("tiers 0 and 1 on time while a domain is out, at least", 0.95, during,
                             during >= 0.95));
    report["targets"] = targets;
    return report;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app{"Measures the scheduling policy in virtual time."};
    std::string file;
    app.add_option("--json", file, "File that the rows are written to as JSON");
    CLI11_PARSE(app, argc, argv);
    const json::object report = measure();
    if (file.empty())
        return 0;
    std::ofstream out(file);
    out << json::value(report) << '\n';
    out.close();
    if (!out) {
        std::cerr << "cannot write " << file << '\n';
        return 1;
    }
    return 0;
}
