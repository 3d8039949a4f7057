#include "dispatch/request_quarantine.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

using namespace comfreypass;
using namespace comfreypass::dispatch;
using namespace std::chrono_literals;

class quarantine_load_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(quarantine_load_test);
    CPPUNIT_TEST(constantEngineFailuresQuarantineNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against refusing sound requests while engines fail at random: 20 engines with a crash
    // every 300 ms, six requests each, 100 segments, 200 requests per second.
    void constantEngineFailuresQuarantineNothing()
    {
        constexpr std::uint64_t shared = 7;
        core::time_point now{10h};
        for (std::uint32_t seed = 1; seed <= 50; ++seed) {
            std::minstd_rand random(seed);
            request_quarantine node(seed);
            for (int i = 0; i < 6'000; ++i) {
                now += 5ms;
                const std::vector<request_feature> segments
                    = {{feature_kind::Segment, shared},
                       {feature_kind::Segment, 100 + random() % 100},
                       {feature_kind::Request, static_cast<std::uint64_t>(i)}};
                const auto engine = static_cast<engine_key>(random() % 20);
                const auto failed = static_cast<engine_key>(i / 60 % 20);
                if (i % 60 < 6) {
                    node.onBroken(failed, segments, false, now);
                    node.onEngineDown(failed, now);
                } else if (engine != failed) {
                    node.onAnswered(segments, now);
                }
                CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), !node.find(segments, now));
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(quarantine_load_test);
