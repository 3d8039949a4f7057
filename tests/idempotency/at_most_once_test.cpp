#include "idempotency/claim_fleet.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <iostream>
#include <map>
#include <set>
#include <string>

using namespace comfreypass;
using namespace comfreypass::idempotency;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t nodeCount = 5;
constexpr std::uint64_t keyCount = 3;

/** One step of a generated sequence. */
struct command
{
    enum class kind : std::uint8_t {
        Request,
        Short,
        Long,
        Restart,
        Pause,
        Network,
        Disconnect,
        Count
    };

    kind what = kind::Request;
    std::uint8_t first = 0;
    std::uint8_t second = 0;
};

std::ostream &operator<<(std::ostream &out, const command &step)
{
    static constexpr const char *names[]
        = {"request", "short", "long", "restart", "pause", "network", "disconnect"};
    return out << names[static_cast<std::size_t>(step.what)] << ' ' << int{step.first} << ' '
               << int{step.second};
}

/** Checks the events that callers and upstreams observe; shares no code with the claims. */
class claim_oracle : public claim_fleet::observer
{
public:
    const claim_fleet *fleet = nullptr;
    std::string violation;
    std::size_t dispatched = 0;

    void onArrival(const core::node_identity &node, std::uint64_t key) override
    {
        m_mayDispatch.insert({node, key});
    }

    void onDispatch(const core::node_identity &node, std::uint64_t key) override
    {
        ++dispatched;
        const bool first = m_dispatchedAt.emplace(key, fleet->now()).second;
        if (!first)
            violation = "key " + std::to_string(key) + " was dispatched twice";
        if (!m_mayDispatch.contains({node, key}))
            violation = "key " + std::to_string(key) + " was dispatched after not_run";
    }

    void onResponse(std::size_t attempt, const claim_fleet::attempt &state) override
    {
        if (state.result != claim_fleet::attempt_result::NotRun)
            return;
        if (!hasOtherOpenAttempt(attempt, state))
            m_mayDispatch.erase({state.server, state.key});
        const auto found = m_dispatchedAt.find(state.key);
        if (found == m_dispatchedAt.end())
            return;
        if (state.sentAt > found->second)
            violation = "key " + std::to_string(state.key) + " was not_run after its dispatch";
        if (callerMayResubmit(state.key))
            violation
                = "key " + std::to_string(state.key) + " has run, but all attempts got not_run";
    }

private:
    bool hasOtherOpenAttempt(std::size_t attempt, const claim_fleet::attempt &state) const
    {
        for (std::size_t id = 0; id < fleet->attempts().size(); ++id) {
            const claim_fleet::attempt &other = fleet->attempts()[id];
            if (id != attempt && other.key == state.key && other.server == state.server
                && other.result == claim_fleet::attempt_result::Open)
                return true;
        }
        return false;
    }

    /** Returns true if all attempts of a key got `not_run`, so that its caller may resubmit it. */
    bool callerMayResubmit(std::uint64_t key) const
    {
        for (const claim_fleet::attempt &attempt : fleet->attempts()) {
            if (attempt.key == key && attempt.result != claim_fleet::attempt_result::NotRun)
                return false;
        }
        return true;
    }

    std::map<std::uint64_t, core::duration> m_dispatchedAt;
    std::set<std::pair<core::node_identity, std::uint64_t>> m_mayDispatch;
};

void apply(claim_fleet &fleet, const command &step)
{
    const std::size_t node = step.first % nodeCount;
    fleet_settings &settings = fleet.settings();
    switch (step.what) {
    case command::kind::Request:
        fleet.request(step.second % keyCount, node);
        break;
    case command::kind::Short:
        fleet.advance(step.first * 2ms);
        break;
    case command::kind::Long:
        fleet.advance(step.first * 3s);
        break;
    case command::kind::Restart:
        fleet.restart(node, step.second * 10ms);
        break;
    case command::kind::Pause:
        fleet.pause(node, step.second * 100ms);
        break;
    case command::kind::Network:
        settings.loss = (step.first % 4) * 0.15;
        settings.duplication = (step.second % 3) * 0.2;
        settings.delay = (step.first % 5) * 60ms + 1ms;
        settings.longDelayOneIn = (step.second % 2) * 5;
        break;
    case command::kind::Disconnect:
        if (!fleet.attempts().empty())
            fleet.disconnect(fleet.attempts().size() - 1);
        break;
    case command::kind::Count:
        break;
    }
}

/** Returns the first violation of the sequence and the number of dispatches. */
std::pair<std::string, std::size_t> run(std::uint64_t seed, const std::vector<command> &steps)
{
    claim_oracle oracle;
    fleet_settings settings;
    settings.seed = seed;
    settings.nodes = nodeCount;
    settings.abandonRate = 0.1;
    claim_fleet fleet{settings, oracle};
    oracle.fleet = &fleet;
    for (const command &step : steps) {
        apply(fleet, step);
        if (!oracle.violation.empty())
            return {oracle.violation, oracle.dispatched};
    }
    fleet.advance(5min);
    return {oracle.violation, oracle.dispatched};
}

} // namespace

template<>
struct rc::Arbitrary<command>
{
    static Gen<command> arbitrary()
    {
        // Requests and short delays are more frequent, so that rounds and faults overlap.
        using kind = command::kind;
        return gen::build<command>(
            gen::set(&command::what, gen::weightedElement<kind>({{6, kind::Request},
                                                                 {6, kind::Short},
                                                                 {3, kind::Long},
                                                                 {3, kind::Restart},
                                                                 {1, kind::Pause},
                                                                 {1, kind::Network},
                                                                 {1, kind::Disconnect}})),
            gen::set(&command::first), gen::set(&command::second));
    }
};

class at_most_once_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(at_most_once_test);
    CPPUNIT_TEST(healthyFleetRunsEveryRequest);
    CPPUNIT_TEST(noSequenceOfFaultsRunsAKeyTwice);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a simulation in which nothing is ever dispatched.
    void healthyFleetRunsEveryRequest()
    {
        claim_oracle oracle;
        claim_fleet fleet{{}, oracle};
        oracle.fleet = &fleet;
        for (std::uint64_t key = 0; key < 100; ++key)
            fleet.request(key, key % nodeCount);
        fleet.advance(5s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{100}, oracle.dispatched);
        CPPUNIT_ASSERT_EQUAL(std::string{}, oracle.violation);
    }

    // Guards against a second dispatch, a dispatch after `not_run`, and a false `not_run`.
    void noSequenceOfFaultsRunsAKeyTwice()
    {
        // RC_PARAMS set by the user selects other sequences or reproduces a printed failure.
        setenv("RC_PARAMS", "seed=20261204 max_success=4000 max_size=200", 0);
        std::size_t dispatched = 0;
        const bool held = rc::check([&](std::uint64_t seed, const std::vector<command> &steps) {
            const auto [violation, count] = run(seed, steps);
            dispatched += count;
            if (!violation.empty())
                std::cerr << steps.size() << " steps: " << violation << '\n';
            RC_ASSERT(violation.empty());
        });
        std::cerr << dispatched << " dispatches\n";
        CPPUNIT_ASSERT(held);
        CPPUNIT_ASSERT(dispatched > 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(at_most_once_test);
