#include "scheduling/engine_estimate.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

using namespace comfreypass;
using namespace comfreypass::scheduling;
using namespace std::chrono_literals;

class engine_estimate_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(engine_estimate_test);
    CPPUNIT_TEST(queuedPrefillDelaysTheNextAndDrains);
    CPPUNIT_TEST(latencyFactorFollowsFirstTokens);
    CPPUNIT_TEST(shortPromptsDoNotRaiseLatencyFactor);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an estimate that ignores queued prefill, or never lets it end.
    void queuedPrefillDelaysTheNextAndDrains()
    {
        engine_estimate estimate({1'000, 100, 8});
        const core::time_point start{};
        CPPUNIT_ASSERT(estimate.service({1'000, 100}, start) == 2s);
        const std::int64_t work = estimate.add({3'000, 100}, start);
        CPPUNIT_ASSERT(estimate.firstToken(1'000, start) == 4s);
        CPPUNIT_ASSERT(estimate.firstToken(1'000, start + 2s) == 2s);
        CPPUNIT_ASSERT(estimate.firstToken(1'000, start + 9s) == 1s);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{4'000'000}, estimate.outstanding());
        estimate.remove(work);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, estimate.outstanding());
    }

    // Guards against a slow engine that gets as much work as a fast one.
    void latencyFactorFollowsFirstTokens()
    {
        engine_estimate estimate({1'000, 100, 8});
        for (int i = 0; i < 40; ++i)
            estimate.learn(3s, 1s, 1);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(3.0, estimate.latencyFactor(), 0.01);
        CPPUNIT_ASSERT(engine_estimate::minFactorOfClass(estimate.latencyClass())
                       <= estimate.latencyFactor());
        CPPUNIT_ASSERT(estimate.firstToken(1'000, {}) > 2'900ms);
        estimate.learn(0s, 1s, 1);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(3.0, estimate.latencyFactor(), 0.01);
    }

    // Guards against an idle engine that refuses everything as too late after some short prompts:
    // their first token takes a decode step, many times the estimate of their prefill.
    void shortPromptsDoNotRaiseLatencyFactor()
    {
        engine_estimate estimate({10'000, 50, 8});
        for (int i = 0; i < 40; ++i)
            estimate.learn(20ms, 300us, estimate.latencyFactor());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, estimate.latencyFactor(), 0.01);
        for (int i = 0; i < 40; ++i)
            estimate.learn(60ms, 300us, estimate.latencyFactor());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(3.0, estimate.latencyFactor(), 0.01);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(engine_estimate_test);
