#include "dispatch/crash_fleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <iostream>

using namespace comfreypass;
using namespace comfreypass::dispatch;

class quiet_quarantine_load_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(quiet_quarantine_load_test);
    CPPUNIT_TEST(severalCausesInAQuietHourRefuseNoSoundRequest);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against refusing sound requests, too rare to clear what they share with others, while
    // a request and a part of prompts crash engines and one engine a minute crashes by itself.
    void severalCausesInAQuietHourRefuseNoSoundRequest()
    {
        constexpr std::uint32_t seeds = 10;
        constexpr std::size_t allowedLate = 3;
        std::size_t runs = 0;
        std::size_t failedRuns = 0;
        for (const std::size_t engines : {1, 2, 9}) {
            for (const double secondsBetweenSound : {1, 9, 60}) {
                for (const double perMinute : {1, 6, 15, 60}) {
                    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
                        const crash_fleet_result result
                            = crash_fleet({.engines = engines,
                                           .soundPerSecond = 1 / secondsBetweenSound,
                                           .ownCrashesPerMinute = 1,
                                           .deadlyRequestsPerMinute = perMinute,
                                           .deadlySegmentsPerMinute = perMinute,
                                           .length = std::chrono::minutes(12)},
                                          seed)
                                  .run();
                        ++runs;
                        if (result.soundRefused == 0 && result.lateRequests <= allowedLate
                            && result.lateSegments <= allowedLate)
                            continue;
                        ++failedRuns;
                        std::cout << engines << " engines, a sound request each "
                                  << secondsBetweenSound << " s, " << perMinute
                                  << " of each cause a minute, seed " << seed << ": "
                                  << result.soundRefused << " of " << result.sound
                                  << " sound requests refused, " << result.lateRequests << " and "
                                  << result.lateSegments << " late\n";
                    }
                }
            }
        }
        std::cout << failedRuns << " of " << runs << " runs failed\n";
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, failedRuns);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(quiet_quarantine_load_test);
