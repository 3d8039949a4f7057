#include "dispatch/request_quarantine.h"

#include <benchmark/benchmark.h>

#include <chrono>
#include <cstdint>
#include <vector>

using namespace comfreypass;
using namespace comfreypass::dispatch;
using namespace std::chrono_literals;

namespace {

/** Requests without an answer at one engine when it crashes. */
constexpr std::uint64_t victims = 5;

std::vector<request_feature> features(std::uint64_t number)
{
    return {{feature_kind::Segment, 1},
            {feature_kind::Segment, 2 + number % 60},
            {feature_kind::Request, 1'000 + number}};
}

/** Measures a peer's report on one crash of an engine, by number of reports that are known. */
void receiveCrashReport(benchmark::State &state)
{
    const auto known = static_cast<std::uint64_t>(state.range(0));
    request_quarantine node(1);
    core::time_point now{10h};
    std::uint64_t number = 0;
    const auto report = [&] {
        quarantine_report result;
        const auto engine = static_cast<engine_key>(number);
        for (std::uint64_t i = 0; i < victims; ++i) {
            ++number;
            result.crashes.push_back(
                {.engine = engine, .features = features(number), .age = 5ms, .id = number});
        }
        return result;
    };
    const auto receive = [&] {
        now += 1s;
        for (std::uint64_t i = 0; i < 60; ++i)
            node.onAnswered(features(1'000'000 + number + i), now);
        return node.onPeerReport(report(), now);
    };
    while (number < known)
        receive();
    for (auto _ : state) {
        state.PauseTiming();
        now += 1s;
        const quarantine_report received = report();
        for (std::uint64_t i = 0; i < 60; ++i)
            node.onAnswered(features(1'000'000 + number + i), now);
        state.ResumeTiming();
        benchmark::DoNotOptimize(node.onPeerReport(received, now));
    }
}

/** Measures the check before an attempt, by number of quarantined features. */
void findQuarantined(benchmark::State &state)
{
    request_quarantine node(1);
    const core::time_point now{10h};
    quarantine_report report;
    for (std::int64_t i = 0; i < state.range(0); ++i)
        report.quarantined.push_back(
            {{{feature_kind::Request, static_cast<std::uint64_t>(i)}}, 60s, 3});
    node.onPeerReport(report, now);
    const std::vector<request_feature> request = features(5);
    for (auto _ : state)
        benchmark::DoNotOptimize(node.find(request, now));
}

} // namespace

BENCHMARK(receiveCrashReport)->Arg(0)->Arg(64)->Arg(512)->Iterations(64);
BENCHMARK(findQuarantined)->Arg(1)->Arg(256);
