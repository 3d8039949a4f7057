// Runs fleets of membership agents in virtual time and prints control traffic, failure detection
// time, dissemination time of a sheet change and CPU time.
#include "membership/virtual_fleet.h"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

using namespace comfreypass;
using bench::virtual_fleet;
using namespace std::chrono_literals;

namespace {

/** TCP and IP headers with timestamps, assuming one packet per message. */
constexpr std::size_t packetHeaderBytes = 52;
/** About 110 bytes per team: 300 KB in total. */
constexpr std::size_t sheetTeams = 3'000;
/** Number of teams whose weight changes; the patch has about 2 KB. */
constexpr std::size_t changedTeams = 75;

double seconds(core::duration value)
{
    return std::chrono::duration<double>(value).count();
}

struct rates
{
    double meanMessages = 0;
    double meanBytes = 0;
    double meanBytesWithHeaders = 0;
    double maxBytes = 0;
};

rates ratesOf(const virtual_fleet &fleet, core::duration span)
{
    rates result;
    const auto nodes = static_cast<double>(fleet.size());
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        const auto &sent = fleet.sent(i);
        const double messages = static_cast<double>(sent.messages) / seconds(span);
        const double bytes = static_cast<double>(sent.bytes) / seconds(span);
        result.meanMessages += messages / nodes;
        result.meanBytes += bytes / nodes;
        result.meanBytesWithHeaders += (bytes + messages * packetHeaderBytes) / nodes;
        result.maxBytes = std::max(result.maxBytes, bytes);
    }
    return result;
}

void print(const char *phase, const rates &r)
{
    std::printf(
        "  %-28s %6.1f messages/s, %8.0f B/s (%.0f B/s with packet headers), max %.0f B/s\n", phase,
        r.meanMessages, r.meanBytes, r.meanBytesWithHeaders, r.maxBytes);
}

/** Runs until `done` returns true or the limit has passed; returns the elapsed virtual time. */
template<class Condition>
core::duration runUntil(virtual_fleet &fleet, core::duration limit, Condition done)
{
    const core::time_point begin = fleet.now();
    while (!done() && fleet.now() - begin < limit)
        fleet.run(1ms);
    return fleet.now() - begin;
}

/** Kills nodes simultaneously and measures how long the others need to declare them dead. */
void measureFailureDetection(virtual_fleet &fleet, const char *what,
                             const std::vector<std::size_t> &killedNodes)
{
    std::set<core::node_name> names;
    for (const std::size_t killedNode : killedNodes)
        names.emplace("entry-" + std::to_string(killedNode));
    std::optional<core::time_point> firstDead;
    std::size_t falsePositives = 0;
    fleet.setEventHandler([&](std::size_t, const membership::membership_event &event) {
        if (event.kind != membership::event_kind::Dead)
            return;
        if (!names.contains(event.node.name))
            ++falsePositives;
        else if (!firstDead)
            firstDead = fleet.now();
    });
    const core::time_point killed = fleet.now();
    fleet.resetTraffic();
    for (const std::size_t killedNode : killedNodes)
        fleet.kill(killedNode);
    const auto known = [&] {
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            if (!fleet.running(i))
                continue;
            for (const core::node_name &name : names) {
                if (fleet.agent(i).view().record(name)->state != membership::member_state::Dead)
                    return false;
            }
        }
        return true;
    };
    const core::duration detected = runUntil(fleet, 60s, known);
    fleet.setEventHandler({});
    std::printf(
        "  %s (%zu): declared dead by the first node after %.2f s, by all after %.2f s; false "
        "positives: %zu\n",
        what, killedNodes.size(), seconds(firstDead.value_or(killed) - killed), seconds(detected),
        falsePositives);
    print("detection", ratesOf(fleet, detected));
}

void measure(std::size_t nodes, double loss, std::uint64_t seed)
{
    virtual_fleet::options fleetOptions;
    fleetOptions.nodes = nodes;
    fleetOptions.domains = nodes > 8 ? 7 : 4;
    fleetOptions.loss = loss;
    fleetOptions.seed = seed;
    virtual_fleet fleet(fleetOptions);
    std::printf("%zu nodes, loss %.1f%%, seed %llu\n", nodes, loss * 100,
                static_cast<unsigned long long>(seed));

    fleet.publish(virtual_fleet::makeSheet(1, fleetOptions.domains, {}, sheetTeams));
    for (std::size_t i = 0; i < nodes; ++i)
        fleet.start(i);
    const auto converged = [&fleet] {
        const std::uint64_t digest = fleet.agent(0).view().digest();
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            membership::membership_agent &agent = fleet.agent(i);
            if (agent.view().digest() != digest || agent.view().liveCount() != fleet.size()
                || !agent.ready(fleet.now()).ready)
                return false;
        }
        return true;
    };
    const core::duration startTime = runUntil(fleet, 60s, converged);
    std::printf("  simultaneous start: views equal and all ready after %.2f s\n",
                seconds(startTime));
    print("start", ratesOf(fleet, startTime));
    fleet.run(15s);

    fleet.resetTraffic();
    const std::uint64_t calls = fleet.serviceCalls();
    const std::clock_t cpuBegin = std::clock();
    constexpr core::duration steadySpan = 30s;
    fleet.run(steadySpan);
    const double cpu = static_cast<double>(std::clock() - cpuBegin) / CLOCKS_PER_SEC;
    print("steady", ratesOf(fleet, steadySpan));
    std::printf("  CPU time %.1f us per node and virtual second; service calls %.1f/s\n",
                cpu * 1e6 / static_cast<double>(nodes) / seconds(steadySpan),
                static_cast<double>(fleet.serviceCalls() - calls) / seconds(steadySpan));

    // Hops of each node from the reader of the service, derived from the sender of the sheet.
    std::map<std::string, int> depth;
    int maxHops = 0;
    fleet.setEventHandler([&](std::size_t node, const membership::membership_event &event) {
        if (event.kind != membership::event_kind::SheetApplied)
            return;
        const std::string name = "entry-" + std::to_string(node);
        depth[name] = event.node.name.empty() ? 0 : depth[event.node.name.text()] + 1;
        maxHops = std::max(maxHops, depth[name]);
    });
    const std::uint64_t changes = 10;
    core::duration maxSpread{};
    core::duration total{};
    rates changeRates;
    const std::clock_t changeBegin = std::clock();
    for (std::uint64_t revision = 2; revision < 2 + changes; ++revision) {
        fleet.resetTraffic();
        fleet.publish(virtual_fleet::makeSheet(revision, fleetOptions.domains, {}, sheetTeams,
                                               changedTeams * (revision % 2)));
        const auto everywhere = [&fleet, revision] {
            for (std::size_t i = 0; i < fleet.size(); ++i) {
                if (fleet.agent(i).store().key().revision != revision)
                    return false;
            }
            return true;
        };
        const core::duration spread = runUntil(fleet, 30s, everywhere);
        maxSpread = std::max(maxSpread, spread);
        total += spread;
        fleet.run(std::max(core::duration(1s) - spread, core::duration::zero()));
        changeRates = ratesOf(fleet, std::max(core::duration(1s), spread));
        fleet.run(1370ms);
    }
    const double changeCpu = static_cast<double>(std::clock() - changeBegin) / CLOCKS_PER_SEC;
    std::printf(
        "  sheet of %zu bytes, %llu changes: in force everywhere after %.3f s on average, %.3f s "
        "at most, %d hops, %.1f ms of CPU time per node and change\n",
        fleet.agent(0).document()->text().size(), static_cast<unsigned long long>(changes),
        seconds(total) / static_cast<double>(changes), seconds(maxSpread), maxHops,
        changeCpu * 1e3 / static_cast<double>(nodes * changes));
    print("second of a change", changeRates);

    const std::size_t killedNode = nodes / 2;
    measureFailureDetection(fleet, "killed node", {killedNode});
    fleet.start(killedNode);
    fleet.run(30s);
    std::vector<std::size_t> domain;
    for (std::size_t i = 0; i < nodes; i += fleetOptions.domains)
        domain.push_back(i);
    measureFailureDetection(fleet, "killed failure domain", domain);
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Membership in virtual time");
    std::vector<std::size_t> sizes = {8, 60, 200, 380};
    std::vector<double> losses = {0, 0.01};
    std::uint64_t seed = 1;
    app.add_option("--nodes", sizes, "Fleet sizes");
    app.add_option("--loss", losses, "Fractions of messages that are lost");
    app.add_option("--seed", seed, "Seed of the random number generator");
    CLI11_PARSE(app, argc, argv);
    for (const std::size_t size : sizes) {
        for (const double loss : losses)
            measure(size, loss, seed);
    }
    return 0;
}
