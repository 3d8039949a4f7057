#include "dispatch/crash_fleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <string>
#include <string_view>
#include <utility>

using namespace comfreypass;
using namespace comfreypass::dispatch;

class crash_fleet_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(crash_fleet_test);
    CPPUNIT_TEST(smallFleetStopsDeadlyRequests);
    CPPUNIT_TEST(mediumFleetStopsDeadlyRequests);
    CPPUNIT_TEST(largeFleetStopsDeadlyRequests);
    CPPUNIT_TEST(fleetInAQuietHourStopsDeadlyRequests);
    CPPUNIT_TEST(fleetInAQuietHourServesRequestsBesideADeadlySegment);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against deadly requests that go on reaching engines, and sound ones refused for them.
    void smallFleetStopsDeadlyRequests()
    {
        check({.nodes = 8, .engines = 12, .soundPerSecond = 120}, 50);
    }

    void mediumFleetStopsDeadlyRequests()
    {
        check({.nodes = 60, .engines = 90, .soundPerSecond = 300}, 8);
    }

    void largeFleetStopsDeadlyRequests()
    {
        check({.nodes = 380, .engines = 600, .soundPerSecond = 600}, 1);
    }

    // Guards against deadly requests whose crashes nobody notices while other requests are rare.
    void fleetInAQuietHourStopsDeadlyRequests()
    {
        for (const std::size_t engines : {1, 2, 9}) {
            for (const double secondsBetweenSound : {1, 9, 60}) {
                for (const double perMinute : {1, 6, 15, 60}) {
                    crash_load load{.engines = engines,
                                    .soundPerSecond = 1 / secondsBetweenSound,
                                    .length = std::chrono::minutes(12)};
                    load.deadlyRequestsPerMinute = perMinute;
                    play("requests", load, 10);
                    std::swap(load.deadlyRequestsPerMinute, load.deadlySegmentsPerMinute);
                    play("segments", load, 10);
                }
            }
        }
    }

    // Guards against refusing sound requests that are too rare to clear the segments which they
    // share with deadly requests, of one subject, two or many.
    void fleetInAQuietHourServesRequestsBesideADeadlySegment()
    {
        for (const std::size_t engines : {1, 9}) {
            for (const std::size_t subjects : {1, 2, 60}) {
                for (std::size_t position = 0; position <= 2; ++position) {
                    for (const double secondsBetweenSound : {3, 60}) {
                        for (const double perMinute : {1, 30, 120}) {
                            play("segments among others",
                                 {.engines = engines,
                                  .soundPerSecond = 1 / secondsBetweenSound,
                                  .deadlySegmentsPerMinute = perMinute,
                                  .deadlyPosition = position,
                                  .subjects = subjects,
                                  .length = std::chrono::minutes(12)},
                                 5);
                        }
                    }
                }
            }
        }
    }

private:
    /** Requests that may reach engines late by the rules of the callers' organisations. */
    static constexpr std::size_t allowedLate = 3;

    static void check(const crash_load &fleet, std::uint32_t seeds)
    {
        for (const double perMinute : {1.0, 6.0, 30.0}) {
            crash_load load = fleet;
            load.deadlyRequestsPerMinute = perMinute;
            play("requests", load, seeds);
            load = fleet;
            load.deadlySegmentsPerMinute = perMinute;
            play("segments", load, seeds);
            load.deadlyRequestsPerMinute = perMinute;
            load.ownCrashesPerMinute = perMinute;
            play("both, and own crashes", load, seeds);
        }
    }

    static void play(std::string_view name, const crash_load &load, std::uint32_t seeds)
    {
        crash_fleet_result worst;
        std::size_t refused = 0;
        std::size_t sound = 0;
        for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
            const crash_fleet_result result = crash_fleet(load, seed).run();
            const std::string where = std::string(name) + ", " + std::to_string(load.nodes)
                                      + " nodes, " + std::to_string(load.engines)
                                      + " engines, seed " + std::to_string(seed);
            CPPUNIT_ASSERT_MESSAGE(where, result.lateRequests <= allowedLate);
            CPPUNIT_ASSERT_MESSAGE(where, result.lateSegments <= allowedLate);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(where, std::size_t{0}, result.soundRefused);
            worst.enginesEnded = std::max(worst.enginesEnded, result.enginesEnded);
            worst.requestReached = std::max(worst.requestReached, result.requestReached);
            worst.segmentReached = std::max(worst.segmentReached, result.segmentReached);
            refused += result.soundRefused;
            sound += result.sound;
        }
        const auto seconds = [](core::duration time) {
            return std::chrono::duration<double>(time).count();
        };
        std::cout << load.nodes << " nodes, " << load.deadlyRequestsPerMinute
                  << " deadly requests, " << load.deadlySegmentsPerMinute
                  << " with a deadly segment and " << load.ownCrashesPerMinute
                  << " own crashes a minute, " << seeds << " seeds: at most " << worst.enginesEnded
                  << " engines ended, reached after " << seconds(worst.requestReached) << " s and "
                  << seconds(worst.segmentReached) << " s, " << refused << " of " << sound
                  << " sound requests refused\n";
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crash_fleet_test);
