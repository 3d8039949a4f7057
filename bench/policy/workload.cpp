#include "policy/workload.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <random>

using namespace comfreypass;

namespace {

/** A kind of request, with its mean token counts. */
struct kind
{
    double share = 0;
    double prefillTokens = 0;
    double decodeTokens = 0;
};

/** Label lookups, classifications, manifests and hazard summaries. */
constexpr std::array<kind, 4> kinds{
    {{0.60, 60, 8}, {0.20, 200, 4}, {0.15, 800, 120}, {0.05, 6'000, 400}}};
constexpr std::array<double, core::tierCount> tierShares{10, 20, 30, 25, 15};
constexpr std::array<double, workload::teamCount> teamShares{40, 30, 15, 10, 5};
const std::array<sheet::generation_spec, workload::generationCount> generations{
    {{6'000, 20, 4}, {9'000, 25, 4}, {14'000, 30, 6}, {20'000, 40, 8}}};
/** Token counts of one request relative to the mean of its kind. */
constexpr double minSizeFactor = 0.5;
constexpr double maxSizeFactor = 1.5;
/** Deadline relative to the service time on an idle engine of the slowest generation. */
constexpr double minDeadlineFactor = 2;
constexpr double maxDeadlineFactor = 4;

/** Returns the service time on an idle engine. */
double idleServiceSeconds(double prefill, double decode, const sheet::generation_spec &spec)
{
    return prefill / spec.prefillTokensPerSecond + decode / spec.decodeTokensPerSecond;
}

core::duration seconds(double value)
{
    return std::chrono::duration_cast<core::duration>(std::chrono::duration<double>(value));
}

std::uint32_t tokens(double value)
{
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(value));
}

} // namespace

const sheet::generation_spec &workload::generationSpec(std::size_t generation)
{
    return generations.at(generation);
}

double workload::capacity()
{
    double prefill = 0;
    double decode = 0;
    for (const kind &item : kinds) {
        prefill += item.share * item.prefillTokens;
        decode += item.share * item.decodeTokens;
    }
    double sum = 0;
    for (std::size_t i = 0; i < engineCount; ++i) {
        const sheet::generation_spec &engine = generationSpec(generationOf(i));
        sum += std::min(engine.prefillTokensPerSecond / prefill,
                        engine.slots / idleServiceSeconds(prefill, decode, engine));
    }
    return sum;
}

std::vector<sample_request> workload::make(const std::vector<phase> &phases, core::time_point end,
                                           std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::discrete_distribution<std::size_t> drawKind{kinds[0].share, kinds[1].share, kinds[2].share,
                                                     kinds[3].share};
    std::discrete_distribution<std::size_t> drawTier(tierShares.begin(), tierShares.end());
    std::discrete_distribution<std::size_t> drawTeam(teamShares.begin(), teamShares.end());
    std::uniform_real_distribution<> size(minSizeFactor, maxSizeFactor);
    std::uniform_real_distribution<> deadlineFactor(minDeadlineFactor, maxDeadlineFactor);
    std::vector<sample_request> made;
    for (std::size_t i = 0; i < phases.size(); ++i) {
        const core::time_point until = i + 1 < phases.size() ? phases[i + 1].begin : end;
        std::exponential_distribution<> gap(phases[i].load * capacity());
        core::time_point now = phases[i].begin + seconds(gap(random));
        for (; now < until; now += seconds(gap(random))) {
            const kind &drawn = kinds.at(drawKind(random));
            sample_request item;
            item.arrival = now;
            item.tier = static_cast<core::tier>(drawTier(random));
            item.team = drawTeam(random);
            item.actual.prefillTokens = tokens(drawn.prefillTokens * size(random));
            item.actual.decodeTokens = tokens(drawn.decodeTokens * size(random));
            item.estimate = {item.actual.prefillTokens, tokens(drawn.decodeTokens)};
            const double service = idleServiceSeconds(item.actual.prefillTokens, drawn.decodeTokens,
                                                      generations.front());
            item.deadline = now + seconds(service * deadlineFactor(random));
            made.push_back(item);
        }
    }
    return made;
}

double workload::bound(const std::vector<sample_request> &requests, core::time_point begin,
                       core::time_point end)
{
    double prefillRate = 0;
    double decodeRate = 0;
    for (std::size_t i = 0; i < engineCount; ++i) {
        const sheet::generation_spec &engine = generationSpec(generationOf(i));
        prefillRate += engine.prefillTokensPerSecond;
        decodeRate += engine.slots * engine.decodeTokensPerSecond;
    }
    // Each weighted sum of prefill and decode work gives an upper bound for every schedule, so the
    // lowest of these bounds applies.
    constexpr int weightSteps = 20;
    std::size_t count = 0;
    std::size_t lowest = requests.size();
    for (int step = 0; step <= weightSteps; ++step) {
        const double prefillWeight = static_cast<double>(step) / weightSteps;
        core::time_point last = end;
        std::vector<double> work;
        for (const sample_request &item : requests) {
            if (item.arrival < begin || item.arrival >= end)
                continue;
            last = std::max(last, item.deadline);
            work.push_back(prefillWeight * item.actual.prefillTokens / prefillRate
                           + (1 - prefillWeight) * item.actual.decodeTokens / decodeRate);
        }
        count = work.size();
        std::sort(work.begin(), work.end());
        double remaining = std::chrono::duration<double>(last - begin).count();
        std::size_t done = 0;
        while (done < count && work[done] <= remaining)
            remaining -= work[done++];
        lowest = std::min(lowest, done);
    }
    return count == 0 ? 0 : static_cast<double>(lowest) / static_cast<double>(count);
}
