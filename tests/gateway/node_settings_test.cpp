#include "gateway/node_settings.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace comfreypass;
using namespace comfreypass::gateway;

namespace {

const std::string valid = R"({
    // A node.
    "name": "n1", "failureDomain": "d1", "region": "r1",
    "listen": {"callers": "10.1.0.25:8221", "readiness": "10.1.0.25:8224",
               "addresses": "10.1.0.25:8220", "peers": "10.1.0.25:7600",
               "metrics": "10.1.0.25:7601"},
    "seeds": ["10.1.0.25:8229", "10.2.0.17:8229"],
    "records": "10.200.1.7:8225",
    "retries": {"ratio": 0.2, "extra": 56, "windowSeconds": 10},
    "graceSeconds": 8, "longestAddressTtlSeconds": 5, "descriptors": 4100,
    "linkMegabitsPerSecond": 10, "memoryMegabytes": 160,
    "scheduling": {"coordinateFromObjectiveMs": 750, "promptCacheFromTokens": 256},
})";

std::string with(const std::string &from, const std::string &to)
{
    std::string text = valid;
    text.replace(text.find(from), from.size(), to);
    return text;
}

std::string firstErrorLocation(const std::string &text)
{
    const auto parsed = parseNodeSettings(text);
    return parsed ? "" : parsed.error().at(0).where;
}

} // namespace

class node_settings_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(node_settings_test);
    CPPUNIT_TEST(validSettingsAreParsed);
    CPPUNIT_TEST(errorsContainTheirLocation);
    CPPUNIT_TEST(allErrorsAreReported);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against storing a setting in the wrong field.
    void validSettingsAreParsed()
    {
        const auto parsed = parseNodeSettings(valid);
        CPPUNIT_ASSERT(parsed);
        const node_settings &settings = parsed.value();
        CPPUNIT_ASSERT_EQUAL(std::string("10.1.0.25:8221"), settings.callers.text());
        CPPUNIT_ASSERT_EQUAL(std::string("10.1.0.25:8224"), settings.readiness.text());
        CPPUNIT_ASSERT_EQUAL(std::string("10.1.0.25:8220"), settings.addresses.text());
        CPPUNIT_ASSERT_EQUAL(std::string("10.1.0.25:7600"), settings.peers.text());
        CPPUNIT_ASSERT_EQUAL(std::string("10.200.1.7:8225"), settings.records.text());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, settings.seeds.size());
        CPPUNIT_ASSERT_EQUAL(0x0a020011U, settings.seeds.at(1));
        CPPUNIT_ASSERT_EQUAL(0.2, settings.retryRatio);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4'100}, settings.descriptors);
        CPPUNIT_ASSERT_EQUAL(1'250'000.0, settings.linkBytesPerSecond);
        CPPUNIT_ASSERT(settings.gracePeriod == std::chrono::seconds(8));
        CPPUNIT_ASSERT_EQUAL(std::size_t{167'772'160}, settings.memoryBytes);
        CPPUNIT_ASSERT_EQUAL(std::size_t{67'108'840}, settings.callerMemoryBytes);
        CPPUNIT_ASSERT(settings.scheduling.coordinateFromObjective
                       == std::chrono::milliseconds(750));
        CPPUNIT_ASSERT_EQUAL(256.0, settings.scheduling.promptCacheFromTokens);
    }

    // Guards against an error message without the location of the error.
    void errorsContainTheirLocation()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("/listen/callers"),
                             firstErrorLocation(with("10.1.0.25:8221", "10.1.0.25")));
        CPPUNIT_ASSERT_EQUAL(std::string("/retries/ratio"),
                             firstErrorLocation(with("\"ratio\": 0.2", "\"ratio\": -1")));
        CPPUNIT_ASSERT_EQUAL(std::string("/scheduling/promptCacheFromTokens"),
                             firstErrorLocation(with("Tokens\": 256", "Tokens\": -1")));
        CPPUNIT_ASSERT_EQUAL(std::string("/memoryMegabytes"),
                             firstErrorLocation(with("Megabytes\": 160", "Megabytes\": 1")));
        CPPUNIT_ASSERT_EQUAL(std::string("/name"), firstErrorLocation(with("\"n1\"", "\"\"")));
        CPPUNIT_ASSERT_EQUAL(std::string("/records"),
                             firstErrorLocation(with("10.200.1.7:8225", "10.200.1.7:99999")));
        CPPUNIT_ASSERT_EQUAL(std::string("/sedes"),
                             firstErrorLocation(with("\"seeds\"", "\"sedes\"")));
    }

    // Guards against reporting only one error per start.
    void allErrorsAreReported()
    {
        const auto parsed = parseNodeSettings("{}");
        CPPUNIT_ASSERT(!parsed);
        CPPUNIT_ASSERT(parsed.error().size() >= 5);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(node_settings_test);
