#include "experiment/engine_model.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

using namespace comfreypass;
using namespace comfreypass::experiment;
using namespace std::chrono_literals;

class engine_model_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(engine_model_test);
    CPPUNIT_TEST(requestsBeyondTheSlotsAreQueuedInOrder);
    CPPUNIT_TEST(promptsArePrefilledBetweenEventsOfOtherRequests);
    CPPUNIT_TEST(stepTimeGrowsWithRunningRequests);
    CPPUNIT_TEST(cancelReturnsPrefilledTokens);
    CPPUNIT_TEST(crashRemovesAllRequests);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a model that runs more requests concurrently than the engine has slots.
    void requestsBeyondTheSlotsAreQueuedInOrder()
    {
        engine_model model(group());
        for (core::request_id id = 1; id <= 3; ++id)
            model.submit(id, 0, 1);
        const auto first = model.step();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, first.size());
        CPPUNIT_ASSERT_EQUAL(core::request_id{1}, first.at(0).id);
        CPPUNIT_ASSERT(first.at(0).firstEvent && first.at(0).completed);
        CPPUNIT_ASSERT_EQUAL(core::request_id{3}, model.step().at(0).id);
        CPPUNIT_ASSERT(model.idle());
    }

    // Guards against long prompts that block the streams of other requests or cost no time.
    void promptsArePrefilledBetweenEventsOfOtherRequests()
    {
        engine_model model(group());
        model.submit(1, 0, 4);
        model.submit(2, 2'500, 1);
        // A step of 11 ms prefills slightly more than 1,000 tokens.
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, model.step().size());
        CPPUNIT_ASSERT(model.step().empty());
        const auto third = model.step();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, third.size());
        CPPUNIT_ASSERT_EQUAL(core::request_id{2}, third.at(0).id);
    }

    // Guards against a model in which concurrent requests do not increase the step time.
    void stepTimeGrowsWithRunningRequests()
    {
        engine_model model(group());
        model.submit(1, 0, 4);
        CPPUNIT_ASSERT(model.stepTime() == 10ms);
        model.submit(2, 0, 4);
        model.submit(3, 0, 4);
        CPPUNIT_ASSERT(model.stepTime() == 11ms);
    }

    // Guards against wasted prefill that is not counted.
    void cancelReturnsPrefilledTokens()
    {
        engine_model model(group());
        model.submit(1, 2'500, 1);
        model.step();
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1'000, model.cancel(1), 1);
        CPPUNIT_ASSERT(model.idle());
        CPPUNIT_ASSERT_EQUAL(0.0, model.cancel(1));
    }

    // Guards against requests that continue after their engine crashed.
    void crashRemovesAllRequests()
    {
        engine_model model(group());
        model.submit(1, 0, 4);
        model.submit(2, 0, 4);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, model.crash().size());
        CPPUNIT_ASSERT(model.idle());
    }

private:
    static engine_group group()
    {
        return {.count = 1,
                .slots = 2,
                .step = 10ms,
                .stepGrowth = 1ms,
                .promptTokensPerSecond = 100'000};
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(engine_model_test);
