#include "experiment/parse_plan.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <string>

using namespace comfreypass;
using namespace comfreypass::experiment;
using namespace std::chrono_literals;

class parse_plan_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(parse_plan_test);
    CPPUNIT_TEST(planIsParsed);
    CPPUNIT_TEST(everyErrorNamesItsLocation);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a value that is stored in the wrong field or unit.
    void planIsParsed()
    {
        const auto parsed = parsePlan(R"({"nodes": 3, "domains": 2, "messageDelayMs": 1.5,
            "lengthSeconds": 4, "warmUpSeconds": 1, "seed": 9,
            // Two generations.
            "engines": [{"count": 2, "slots": 4, "stepMs": 30}, {"count": 1, "slots": 8}],
            "requests": [{"name": "a", "perSecond": 5, "objectiveMs": 250, "priority": 2}],
            "outages": [{"atSeconds": 2, "lengthSeconds": 1, "engines": 1}],
            "loads": [{"factor": 0.5}, {"factor": 2}]})");
        CPPUNIT_ASSERT(parsed);
        const experiment_plan &plan = parsed.value();
        CPPUNIT_ASSERT_EQUAL(3U, plan.nodes);
        CPPUNIT_ASSERT(plan.messageDelay == 1500us);
        CPPUNIT_ASSERT(plan.length == 4s && plan.warmUp == 1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, plan.engines.size());
        CPPUNIT_ASSERT(plan.engines.at(0).step == 30ms);
        CPPUNIT_ASSERT(plan.requests.at(0).objective == 250ms);
        CPPUNIT_ASSERT_EQUAL(2U, plan.requests.at(0).priority);
        CPPUNIT_ASSERT(plan.outages.at(0).at == 2s);
        CPPUNIT_ASSERT_EQUAL(2.0, plan.loads.at(1));
    }

    // Guards against a parser that reports only the first error.
    void everyErrorNamesItsLocation()
    {
        const auto parsed = parsePlan(R"({"nodes": 0, "engines": [{"count": 1}], "extra": 1,
            "warmUpSeconds": 20})");
        CPPUNIT_ASSERT(!parsed);
        for (const char *location : {"/nodes", "/engines/0/slots", "/extra", "/warmUpSeconds"})
            CPPUNIT_ASSERT_MESSAGE(
                location, std::ranges::any_of(parsed.error(), [&](const core::error &each) {
                    return each.where == location;
                }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(parse_plan_test);
