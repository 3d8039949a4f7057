#include "observe/metric_info.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <sstream>
#include <string>

using namespace comfreypass::observe;

class metric_info_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(metric_info_test);
    CPPUNIT_TEST(tableIsInEnumOrder);
    CPPUNIT_TEST(namesFollowPrometheusConventions);
    CPPUNIT_TEST(operatorsPageListsTheSameMetrics);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a metric that is exported under the name of another.
    void tableIsInEnumOrder()
    {
        for (const metric_info &info : describeMetrics())
            CPPUNIT_ASSERT(&describe(info.id) == &info);
    }

    // Guards against names that violate the Prometheus naming conventions.
    void namesFollowPrometheusConventions()
    {
        for (const metric_info &info : describeMetrics()) {
            const std::string name(info.name);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, info.type == metric_type::Counter,
                                         name.ends_with("_total"));
            if (info.unit == "seconds" || info.unit == "bytes")
                CPPUNIT_ASSERT_MESSAGE(name, name.find(info.unit) != std::string::npos);
        }
    }

    // Guards against a metrics page that lacks a metric or describes a removed one.
    void operatorsPageListsTheSameMetrics()
    {
        std::ostringstream content;
        content << std::ifstream(COMFREYPASS_SOURCE_DIR "/docs/operators/metrics.md").rdbuf();
        const std::string page = content.str();
        for (const metric_info &info : describeMetrics()) {
            std::string labels;
            for (std::size_t i = 0; i < info.labelCount(); ++i)
                labels += (i == 0 ? "" : ", ") + std::string(info.labels.at(i));
            std::ostringstream row;
            row << "\n| `" << info.name << "` | " << toString(info.type) << " | " << info.unit
                << " | " << (labels.empty() ? "-" : labels) << " | " << info.help << " |\n";
            CPPUNIT_ASSERT_MESSAGE(row.str(), page.find(row.str()) != std::string::npos);
        }
        CPPUNIT_ASSERT_EQUAL(describeMetrics().size(), countRows(page));
    }

private:
    /** Counts the rows of the first table, which precedes the first section. */
    static std::size_t countRows(const std::string &page)
    {
        std::istringstream lines(page.substr(0, page.find("\n## ")));
        std::size_t count = 0;
        for (std::string line; std::getline(lines, line);)
            count += line.starts_with("| `") ? 1 : 0;
        return count;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(metric_info_test);
