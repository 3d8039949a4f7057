#include "membership/virtual_fleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace comfreypass;
using namespace comfreypass::membership;
using namespace std::chrono_literals;
using bench::virtual_fleet;

/** Runs eight agents with random partitions, pauses, restarts, publications and service faults. */
class membership_agent_random_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(membership_agent_random_test);
    CPPUNIT_TEST(invariantsHoldUnderFaults);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a sheet that reverts or differs between nodes, against a domain that remains
    // in use after it was taken out of service, and against a partitioned minority that keeps
    // dispatching.
    void invariantsHoldUnderFaults()
    {
        for (std::uint64_t seed = 1; seed <= 40; ++seed)
            runOnce(seed);
    }

private:
    static constexpr std::size_t nodeCount = 8;
    static constexpr std::size_t domainCount = 4;
    static constexpr core::duration step = 100ms;

    struct isolation
    {
        core::time_point since;
        std::set<std::size_t> reachable;
    };

    struct fleet_state
    {
        explicit fleet_state(std::uint64_t seed)
            : random(seed), fleet(makeOptions(seed)), serviceLag(nodeCount, 0)
        {
            fleet.setServiceView([this](std::size_t node) -> std::optional<std::size_t> {
                const int lag = serviceLag[node];
                if (lag < 0)
                    return std::nullopt;
                const auto behind = static_cast<std::size_t>(lag);
                return fleet.published() > behind ? fleet.published() - behind : 1;
            });
            publish();
            for (std::size_t i = 0; i < nodeCount; ++i)
                fleet.start(i);
        }
        void publish()
        {
            ++revision;
            outDomain = random() % domainCount;
            fleet.publish(virtual_fleet::makeSheet(revision, domainCount, {outDomain}, 20));
        }

        std::mt19937_64 random;
        virtual_fleet fleet;
        /** Number of values by which a node sees a stale service; negative if it is down. */
        std::vector<int> serviceLag;
        std::uint64_t revision = 0;
        std::size_t outDomain = 0;
        std::map<core::node_identity, sheet::sheet_key> maxKeys;
        std::map<std::size_t, isolation> isolated;
    };

    static virtual_fleet::options makeOptions(std::uint64_t seed)
    {
        virtual_fleet::options options;
        options.nodes = nodeCount;
        options.domains = domainCount;
        options.loss = 0.02;
        options.seed = seed;
        return options;
    }

    static void runOnce(std::uint64_t seed)
    {
        fleet_state w(seed);
        for (int action = 0; action < 60; ++action) {
            injectFault(w);
            runAndCheck(w, seed, core::duration(std::chrono::milliseconds(w.random() % 3'000)));
        }
        repairFleet(w);
        runAndCheck(w, seed, 30s);
        checkConverged(w, seed);

        w.publish();
        runAndCheck(w, seed, 2s);
        checkOutDomain(w, seed, 0);

        for (std::size_t i = 0; i < 3; ++i) {
            w.fleet.setGroup(i, 1);
            w.serviceLag[i] = -1;
        }
        runAndCheck(w, seed, 5s);
        for (std::size_t i = 0; i < nodeCount; ++i)
            check(seed, "dispatch after partition", w,
                  w.fleet.agent(i).mayDispatch(w.fleet.now()) == (i >= 3));
        w.publish();
        runAndCheck(w, seed, 2s);
        checkOutDomain(w, seed, 3);
    }

    static void injectFault(fleet_state &w)
    {
        const std::size_t node = w.random() % nodeCount;
        switch (w.random() % 8) {
        case 0:
            for (std::size_t i = 0; i < nodeCount; ++i)
                w.fleet.setGroup(i, static_cast<int>(w.random() % 3));
            break;
        case 1:
            for (std::size_t i = 0; i < nodeCount; ++i)
                w.fleet.setGroup(i, 0);
            break;
        case 2:
            w.fleet.pause(node, core::duration(std::chrono::milliseconds(w.random() % 7'000)));
            break;
        case 3:
            w.fleet.kill(node);
            break;
        case 4:
            if (!w.fleet.running(node))
                w.fleet.start(node);
            break;
        case 5:
            w.publish();
            break;
        case 6:
            // Two operators publish different sheets with the same revision.
            w.publish();
            --w.revision;
            w.publish();
            break;
        default:
            for (int &lag : w.serviceLag)
                lag = static_cast<int>(w.random() % 5) - 2;
            break;
        }
    }

    static void repairFleet(fleet_state &w)
    {
        for (std::size_t i = 0; i < nodeCount; ++i) {
            w.fleet.setGroup(i, 0);
            w.serviceLag[i] = 0;
            if (!w.fleet.running(i))
                w.fleet.start(i);
        }
    }

    /** Runs the fleet and checks the invariants after each step. */
    static void runAndCheck(fleet_state &w, std::uint64_t seed, core::duration span)
    {
        for (core::duration done = 0s; done < span; done += step) {
            w.fleet.run(step);
            for (std::size_t i = 0; i < nodeCount; ++i) {
                if (!w.fleet.running(i)) {
                    w.isolated.erase(i);
                    continue;
                }
                checkNeverReverts(w, seed, i);
                checkIsolatedNode(w, seed, i);
            }
        }
    }

    static void checkNeverReverts(fleet_state &w, std::uint64_t seed, std::size_t node)
    {
        const auto key = w.fleet.agent(node).store().key();
        auto &known = w.maxKeys[w.fleet.agent(node).self().identity];
        check(seed, "sheet reverted", w, key >= known);
        known = key;
    }

    static void checkIsolatedNode(fleet_state &w, std::uint64_t seed, std::size_t node)
    {
        std::set<std::size_t> reachable;
        bool service = false;
        for (std::size_t i = 0; i < nodeCount; ++i) {
            if (w.fleet.group(i) != w.fleet.group(node))
                continue;
            if (w.fleet.running(i))
                reachable.insert(i);
            service = service || w.serviceLag[i] >= 0;
        }
        if (service || 2 * reachable.size() > nodeCount) {
            w.isolated.erase(node);
            return;
        }
        // A newly reachable node may have a more recent confirmation, so the time starts again.
        auto &state
            = w.isolated.try_emplace(node, isolation{w.fleet.now(), reachable}).first->second;
        if (!std::includes(state.reachable.begin(), state.reachable.end(), reachable.begin(),
                           reachable.end()))
            state.since = w.fleet.now();
        state.reachable = reachable;
        if (w.fleet.now() - state.since >= 5s)
            check(seed, "isolated node dispatches", w,
                  !w.fleet.agent(node).mayDispatch(w.fleet.now()));
    }

    static void checkConverged(fleet_state &w, std::uint64_t seed)
    {
        const auto key = w.fleet.agent(0).store().key();
        check(seed, "not the last published sheet", w, key.serviceIndex == w.fleet.published());
        for (std::size_t i = 0; i < nodeCount; ++i) {
            check(seed, "sheets differ", w, w.fleet.agent(i).store().key() == key);
            check(seed, "members missing", w, w.fleet.agent(i).view().liveCount() == nodeCount);
            check(seed, "not ready", w, w.fleet.agent(i).ready(w.fleet.now()).ready);
            check(seed, "does not dispatch", w, w.fleet.agent(i).mayDispatch(w.fleet.now()));
        }
    }

    static void checkOutDomain(fleet_state &w, std::uint64_t seed, std::size_t firstNode)
    {
        const core::domain_name out("domain-" + std::to_string(w.outDomain));
        for (std::size_t i = firstNode; i < nodeCount; ++i)
            check(seed, "domain still in service", w,
                  !w.fleet.agent(i).currentSheet()->isDomainInService(out)
                      && w.fleet.agent(i).store().key().revision == w.revision);
    }

    static void check(std::uint64_t seed, const char *what, const fleet_state &w, bool holds)
    {
        if (holds)
            return;
        const double at = std::chrono::duration<double>(w.fleet.now().time_since_epoch()).count();
        CPPUNIT_FAIL(std::string(what) + ", seed " + std::to_string(seed) + ", time "
                     + std::to_string(at));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(membership_agent_random_test);
