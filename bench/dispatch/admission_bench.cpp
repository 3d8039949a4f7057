#include "dispatch/admission.h"
#include "dispatch/engine_affinity.h"

#include <benchmark/benchmark.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

using namespace comfreypass;
using namespace comfreypass::dispatch;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t slots = 8;
/** Part of the engines that are full, as on a busy day. */
constexpr std::uint32_t fullOfTen = 7;

std::string nameOf(std::size_t number)
{
    return "engine-" + std::to_string(number);
}

/** A start and its end at a node of a fleet whose upstream has `engines` engines. */
void decide(benchmark::State &state)
{
    const auto engines = static_cast<std::size_t>(state.range(0));
    const auto preferred = static_cast<std::size_t>(state.range(1));
    const core::time_point now{1h};
    engine_registry registry("d1", 1);
    fleet_view fleet(1, "d1", {});
    admission decisions(registry, fleet, 1);
    std::vector<engine_load> loads;
    std::vector<engine_key> own;
    for (std::size_t i = 0; i < engines; ++i) {
        registry.update({.id = nameOf(i),
                         .upstream = "u",
                         .address = "127.0.0.1:1",
                         .domain = "d" + std::to_string(i % 7),
                         .slots = slots},
                        nullptr, now);
        loads.push_back({engine_registry::keyOf(nameOf(i)), i % 10 < fullOfTen ? slots : 4});
        if (i < preferred)
            own.push_back(engine_registry::keyOf(nameOf(i)));
    }
    registry.setPeerLoads(2, loads);
    registry.setPreferred("u", own, preferred > 0);
    core::request_id id = 0;
    for (auto _ : state) {
        const admission_decision decision = decisions.submit({.id = ++id,
                                                              .upstream = "u",
                                                              .priority = 1,
                                                              .objectiveAt = now + 500ms,
                                                              .queueDeadline = now,
                                                              .promptTokens = 1'000,
                                                              .objective = 500ms,
                                                              .outputTokens = 300,
                                                              .deadline = now + 10s},
                                                             now);
        if (decision.outcome == admission_outcome::Start)
            decisions.onEnd("u", decision.engine.id, attempt_result::Served, 500ms, now);
        benchmark::DoNotOptimize(decision);
    }
}

/** Sharing the engines out among the nodes, as after each death of a node. */
void assign(benchmark::State &state)
{
    std::vector<node_location> nodes;
    for (std::int64_t i = 0; i < state.range(0); ++i)
        nodes.push_back({static_cast<std::uint32_t>(0x0A000001 + i), "d" + std::to_string(i % 7)});
    std::vector<engine_location> engines;
    for (std::int64_t i = 0; i < state.range(1); ++i)
        engines.push_back({engine_registry::keyOf(nameOf(static_cast<std::size_t>(i))),
                           "d" + std::to_string(i % 7)});
    for (auto _ : state)
        benchmark::DoNotOptimize(assignEngines(nodes, engines));
}

} // namespace

BENCHMARK(decide)->Args({9, 0})->Args({112, 6})->Args({600, 0})->Args({600, 6});
BENCHMARK(assign)->Args({81, 112})->Args({380, 600})->Unit(benchmark::kMillisecond);

BENCHMARK_MAIN();
