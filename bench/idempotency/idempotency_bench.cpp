// Runs requests whose callers retry at another node while nodes are killed at random. Reports the
// fraction that ends as `unknown` and the messages per request, and the same figures for the
// alternative design in which each key is bound to one home node.

#include "idempotency/claim_fleet.h"

#include <CLI/CLI.hpp>

#include <chrono>
#include <cstdio>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

using namespace comfreypass;
using namespace comfreypass::idempotency;
using namespace std::chrono_literals;

namespace {

constexpr int maxAttempts = 4;
constexpr core::duration step = 10ms;

struct bench_settings
{
    fleet_settings fleet;
    std::uint64_t requests = 20'000;
    double requestsPerSecond = 50;
    double killEverySeconds = 5;
};

/** Outcomes of the requests with one approach. */
struct outcome_counts
{
    std::uint64_t completed = 0;
    std::uint64_t unknown = 0;
    /** Unknown requests that were never dispatched to an upstream. */
    std::uint64_t unknownNeverRun = 0;
    std::uint64_t notRun = 0;
    std::uint64_t messages = 0;

    void print(const char *approach, std::uint64_t requests) const
    {
        const auto share = [&](std::uint64_t count) {
            return 100.0 * static_cast<double>(count) / static_cast<double>(requests);
        };
        std::printf("%-10s completed %.3f%% unknown %.3f%% (never run: %.3f%%) not_run %.3f%% "
                    "messages/request %.2f\n",
                    approach, share(completed), share(unknown), share(unknownNeverRun),
                    share(notRun), static_cast<double>(messages) / static_cast<double>(requests));
    }
};

/** Callers that retry at another node after a lost connection or an attempt that was not run. */
class callers : public claim_fleet::observer
{
public:
    explicit callers(const bench_settings &settings)
        : m_settings(settings), m_random(settings.fleet.seed), m_fleet(settings.fleet, *this)
    { }

    void run()
    {
        std::uint64_t key = 0;
        while (key < m_settings.requests) {
            const double expected = m_settings.requestsPerSecond * seconds(step);
            for (auto count = std::poisson_distribution<>{expected}(m_random);
                 count > 0 && key < m_settings.requests; --count)
                startKey(key++);
            if (chance() < seconds(step) / m_settings.killEverySeconds)
                kill(m_random() % m_settings.fleet.nodes);
            advance(step);
        }
        advance(1min);
    }

    void onDispatch(const core::node_identity & /*node*/, std::uint64_t key) override
    {
        m_requests.at(key).dispatched = true;
    }

    void onResponse(std::size_t /*attempt*/, const claim_fleet::attempt &state) override
    {
        request_state &request = m_requests.at(state.key);
        request.last = state.result;
        // Retries are sent after the event, when the fleet is in a consistent state.
        if (state.result == claim_fleet::attempt_result::ConnectionLost
            || state.result == claim_fleet::attempt_result::NotRun)
            m_retries.push_back(state.key);
    }

    outcome_counts witnesses() const
    {
        outcome_counts result;
        for (const auto &[key, request] : m_requests) {
            if (request.last == claim_fleet::attempt_result::Completed)
                ++result.completed;
            else if (request.last == claim_fleet::attempt_result::NotRun)
                ++result.notRun;
            else
                count(result, !request.dispatched);
        }
        result.messages = m_fleet.messages();
        return result;
    }

    /** Returns the outcomes if the first node were the home node of each key. */
    outcome_counts homeNodes() const
    {
        outcome_counts result;
        for (const auto &[key, request] : m_requests) {
            // A crash of the home node ends the attempt; another node then gets no reply from it.
            if (request.firstResult() != claim_fleet::attempt_result::ConnectionLost) {
                ++result.completed;
                continue;
            }
            count(result, !request.dispatchedByFirst);
            result.messages += 1;
        }
        return result;
    }

private:
    struct request_state
    {
        int attempts = 0;
        std::size_t node = 0;
        bool dispatched = false;
        bool dispatchedByFirst = false;
        claim_fleet::attempt_result last = claim_fleet::attempt_result::Open;
        std::optional<claim_fleet::attempt_result> first;

        claim_fleet::attempt_result firstResult() const { return first.value_or(last); }
    };

    static double seconds(core::duration value)
    {
        return std::chrono::duration<double>(value).count();
    }

    static void count(outcome_counts &result, bool neverRun)
    {
        ++result.unknown;
        result.unknownNeverRun += neverRun ? 1 : 0;
    }

    double chance() { return std::uniform_real_distribution<>{}(m_random); }

    std::size_t liveNode()
    {
        std::size_t node = m_random() % m_settings.fleet.nodes;
        while (!m_fleet.isUp(node))
            node = (node + 1) % m_settings.fleet.nodes;
        return node;
    }

    void startKey(std::uint64_t key)
    {
        m_requests[key].attempts = 1;
        m_fleet.request(key, liveNode());
    }

    void kill(std::size_t node) { m_fleet.restart(node, 2s); }

    void advance(core::duration time)
    {
        for (core::duration passed{}; passed < time; passed += step) {
            m_fleet.advance(step);
            std::vector<std::uint64_t> again;
            again.swap(m_retries);
            for (const std::uint64_t key : again)
                retry(key);
        }
    }

    void retry(std::uint64_t key)
    {
        request_state &request = m_requests.at(key);
        if (!request.first.has_value()) {
            request.first = request.last;
            request.dispatchedByFirst = request.dispatched;
        }
        if (request.attempts++ < maxAttempts)
            m_fleet.request(key, liveNode());
    }

    bench_settings m_settings;
    std::mt19937_64 m_random;
    claim_fleet m_fleet;
    std::map<std::uint64_t, request_state> m_requests;
    std::vector<std::uint64_t> m_retries;
};

} // namespace

int main(int argc, char **argv)
{
    bench_settings settings;
    settings.fleet.nodes = 8;
    settings.fleet.drift = 0.01;
    settings.fleet.delay = 3ms;
    double wait = 0.5;
    double run = 3;
    CLI::App app{"Outcome of requests while nodes are killed at random"};
    app.add_option("--seed", settings.fleet.seed, "seed of all random choices");
    app.add_option("--requests", settings.requests, "number of requests");
    app.add_option("--rate", settings.requestsPerSecond, "requests per second");
    app.add_option("--kill-every", settings.killEverySeconds, "mean seconds between kills");
    app.add_option("--wait", wait, "mean seconds from arrival to the claim");
    app.add_option("--run", run, "mean seconds from dispatch to the end");
    app.add_option("--loss", settings.fleet.loss, "share of messages lost");
    CLI11_PARSE(app, argc, argv);
    settings.fleet.wait = std::chrono::duration_cast<core::duration>(wait * 1s);
    settings.fleet.run = std::chrono::duration_cast<core::duration>(run * 1s);

    callers load{settings};
    load.run();
    load.witnesses().print("witnesses", settings.requests);
    load.homeNodes().print("home node", settings.requests);
    return 0;
}
