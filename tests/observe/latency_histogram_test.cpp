#include "observe/latency_histogram.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <sstream>
#include <string>

using namespace comfreypass::observe;

class latency_histogram_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(latency_histogram_test);
    CPPUNIT_TEST(bucketsIncludeTheirUpperBound);
    CPPUNIT_TEST(everyValueIsCountedOnce);
    CPPUNIT_TEST(limitsUpstreamCount);
    CPPUNIT_TEST_SUITE_END();

    using seconds = latency_histogram::seconds;
    static constexpr std::array bounds = {0.5, 1.0};

public:
    // Guards against counting a response time equal to the target as late.
    void bucketsIncludeTheirUpperBound()
    {
        latency_histogram histogram(bounds);
        histogram.record(0, "chat", seconds(0.5));
        histogram.record(0, "chat", seconds(0.50001));
        histogram.record(0, "chat", seconds(9));
        std::ostringstream text;
        histogram.writeText(text, "t");
        CPPUNIT_ASSERT_EQUAL(std::string("t_bucket{tier=\"0\",upstream=\"chat\",le=\"0.5\"} 1\n"
                                         "t_bucket{tier=\"0\",upstream=\"chat\",le=\"1\"} 2\n"
                                         "t_bucket{tier=\"0\",upstream=\"chat\",le=\"+Inf\"} 3\n"
                                         "t_sum{tier=\"0\",upstream=\"chat\"} 10.00001\n"
                                         "t_count{tier=\"0\",upstream=\"chat\"} 3\n"),
                             text.str());
    }

    // Guards against losing values below, between or above the bounds, also when an axis grows.
    void everyValueIsCountedOnce()
    {
        latency_histogram histogram(bounds);
        for (const double value : {-1.0, 0.0, 0.7, 1.0, 1e9})
            histogram.record(4, "chat", seconds(value));
        histogram.record(4, "desk", seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, histogram.count(4, "chat"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, histogram.count(4, "desk"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, histogram.count(0, "chat"));
    }

    // Guards against unbounded memory when new upstream names keep appearing.
    void limitsUpstreamCount()
    {
        latency_histogram histogram(bounds);
        for (std::size_t i = 0; i < latency_histogram::maxUpstreams; ++i)
            CPPUNIT_ASSERT(histogram.record(0, "u" + std::to_string(i), seconds(1)));
        CPPUNIT_ASSERT(!histogram.record(0, "one-too-many", seconds(1)));
        CPPUNIT_ASSERT(!histogram.record(0, "two-too-many", seconds(1)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, histogram.count(0, "other"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(latency_histogram_test);
