#include "experiment/result_plot.h"
#include "experiment/simulation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <sstream>
#include <string>

using namespace comfreypass;
using namespace comfreypass::experiment;
using namespace std::chrono_literals;

class simulation_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(simulation_test);
    CPPUNIT_TEST(everyRequestIsCountedOnce);
    CPPUNIT_TEST(equalPlansGiveEqualResults);
    CPPUNIT_TEST(lowLoadIsServedOnTimeByTheShippedPolicy);
    CPPUNIT_TEST(goodputUnderOverloadIsCloseToTheBound);
    CPPUNIT_TEST(crashedEnginesAreAvoided);
    CPPUNIT_TEST(plotContainsEachPolicy);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against requests that are lost or counted twice.
    void everyRequestIsCountedOnce()
    {
        experiment_plan changedPlan = plan();
        changedPlan.loads = {0.5, 1.5};
        changedPlan.outages = {{.at = 2s, .length = 1s, .engines = 2}};
        for (const run_result &run : simulateAll(changedPlan, {})) {
            for (const profile_result &each : run.profiles) {
                CPPUNIT_ASSERT(each.requested > 100);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(run.policy, each.requested,
                                             each.onTime + each.late + each.refused + each.failed);
            }
        }
    }

    // Guards against results that cannot be reproduced.
    void equalPlansGiveEqualResults()
    {
        const run_result first = simulate(plan(), policies().front(), 1);
        const run_result second = simulate(plan(), policies().front(), 1);
        CPPUNIT_ASSERT_EQUAL(first.goodput, second.goodput);
        CPPUNIT_ASSERT_EQUAL(first.profiles.at(0).onTime, second.profiles.at(0).onTime);
    }

    // Guards against refusals and late responses while slots are free.
    void lowLoadIsServedOnTimeByTheShippedPolicy()
    {
        const run_result run = simulate(plan(), policies().front(), 0.4);
        CPPUNIT_ASSERT(run.goodput > 0.95);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, run.profiles.at(0).refused);
    }

    // Guards against a goodput that collapses under overload. The target is 0.9 of the bound.
    void goodputUnderOverloadIsCloseToTheBound()
    {
        std::map<std::string, double> goodput;
        experiment_plan changedPlan = plan();
        changedPlan.loads = {1.5};
        for (const run_result &run : simulateAll(changedPlan, {}))
            goodput[run.policy] = run.goodput;
        CPPUNIT_ASSERT(goodput["shipped"] >= 0.9 * goodput["full-knowledge"]);
        CPPUNIT_ASSERT(goodput["shipped"] > goodput["random"]);
        CPPUNIT_ASSERT(goodput["shipped"] > goodput["least-reported"]);
    }

    // Guards against requests to crashed engines until the load reports show the crash.
    void crashedEnginesAreAvoided()
    {
        experiment_plan changedPlan = plan();
        changedPlan.outages = {{.at = 1500ms, .length = 10s, .engines = 3}};
        const run_result run = simulate(changedPlan, policies().front(), 0.4);
        CPPUNIT_ASSERT(run.goodput > 0.9);
    }

    // Guards against a plot that lacks the line of a policy.
    void plotContainsEachPolicy()
    {
        std::vector<run_result> results(2);
        results[0].policy = "shipped";
        results[1].policy = "random";
        std::ostringstream plot;
        writePlot(plot, results);
        CPPUNIT_ASSERT(plot.str().starts_with("<svg"));
        CPPUNIT_ASSERT(plot.str().find(">shipped</text>") != std::string::npos);
        CPPUNIT_ASSERT(plot.str().find(">random</text>") != std::string::npos);
    }

private:
    /** Returns a plan whose streams need about all slots of its 20 engines at load 1. */
    static experiment_plan plan()
    {
        experiment_plan result;
        result.nodes = 12;
        result.domains = 2;
        result.length = 4s;
        result.warmUp = 1s;
        result.engines = {{.count = 20,
                           .slots = 7,
                           .step = 39ms,
                           .stepGrowth = 1ms,
                           .promptTokensPerSecond = 157'000}};
        result.requests = {{.name = "long",
                            .perSecond = 70,
                            .promptTokens = 4'000,
                            .events = 30,
                            .objective = 500ms,
                            .priority = 0,
                            .worth = 6},
                           {.name = "short",
                            .perSecond = 150,
                            .promptTokens = 1'800,
                            .events = 2,
                            .objective = 300ms,
                            .timeout = 2500ms,
                            .priority = 2,
                            .worth = 0.2}};
        return result;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(simulation_test);
