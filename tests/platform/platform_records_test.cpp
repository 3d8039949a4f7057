#include "platform/platform_records.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>
#include <variant>

using namespace comfreypass;
using namespace comfreypass::platform;
using namespace std::chrono_literals;

namespace {

const std::string configurationText = R"({"Version":7,"New":1,"Routes":[
 {"Name":"r1","Host":"h","PathPrefix":"/a/","Kind":"streaming","TimeoutMs":15000,"AimMs":500,
  "Priority":0,"Split":[{"Service":"s1","Weight":90},{"Service":"s2","Weight":10}],
  "MaxAttempts":2,"Public":false,"Sticky":true,"Resumable":true,"GapTargetMs":300},
 {"Name":"r2","Host":"h","PathPrefix":"/b/","Kind":"idempotent","TimeoutMs":800,"AimMs":100,
  "Priority":2,"Service":"s2","MaxAttempts":1,"Public":true}],
 "Services":[{"Name":"s1","MaxConns":620,"ColdS":3.0,"ColdPerS":24.0,"Engine":{"Slots":18}}],
 "Limits":{"MaxHeaderBytes":100,"MaxBodyBytes":200,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
 "Tenants":[{"Name":"t","ApiKeys":["k1","k2"],"Priority":1,"Unit":"tokens","PlainTokens":200,
  "RatePerS":270192,"Burst":1000},{"Name":"u","ApiKeys":["k3"],"RatePerS":0}]})";

const std::string engineText = R"({"Service":"s1","Address":"10.128.0.9:8080","Zone":"z1",
 "Version":"v1","Slots":18,"State":"draining","ColdLeftMs":1500,"Stage":"colocated","Seq":4,
 "born":1790000000123})";

std::string with(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

class platform_records_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(platform_records_test);
    CPPUNIT_TEST(configurationIsParsed);
    CPPUNIT_TEST(engineEntryIsParsed);
    CPPUNIT_TEST(invalidEngineEntriesAreRejected);
    CPPUNIT_TEST(evacuationIsParsed);
    CPPUNIT_TEST(unrelatedKeysAreIgnored);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against storing a value of the configuration in the wrong field.
    void configurationIsParsed()
    {
        const auto content = m_records.decode({"op/config", 1, configurationText});
        CPPUNIT_ASSERT(content);
        const auto &settings = std::get<dispatch::configuration>(content.value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, settings.version);
        const dispatch::route &stream = settings.routes.at(0);
        CPPUNIT_ASSERT(stream.kind == dispatch::request_kind::Streaming);
        CPPUNIT_ASSERT(stream.retryable());
        CPPUNIT_ASSERT(stream.timeout == 15s && stream.objective == 500ms);
        CPPUNIT_ASSERT(stream.longestPause == 300ms && stream.callerPatience() == 2'400ms);
        CPPUNIT_ASSERT_EQUAL(2U, stream.maxAttempts);
        CPPUNIT_ASSERT_EQUAL(90.0, stream.targets.at(0).weight);
        CPPUNIT_ASSERT_EQUAL(std::string("s2"), stream.targets.at(1).upstream);
        CPPUNIT_ASSERT(settings.routes.at(1).isPublic);
        CPPUNIT_ASSERT_EQUAL(std::string("s2"), settings.routes.at(1).targets.at(0).upstream);
        CPPUNIT_ASSERT_EQUAL(24.0, settings.upstreams.at(0).coldRequestsPerSecond);
        CPPUNIT_ASSERT(settings.upstreams.at(0).coldTime == 3s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{200}, settings.limits.bodyBytes);
        CPPUNIT_ASSERT(settings.limits.idleTimeout == 15s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, settings.teams.at(0).keys.size());
        CPPUNIT_ASSERT(settings.teams.at(0).quota->countsTokens);
        CPPUNIT_ASSERT_EQUAL(270'192.0, settings.teams.at(0).quota->unitsPerSecond);
        CPPUNIT_ASSERT_EQUAL(200.0, settings.teams.at(0).quota->defaultUnits);
        CPPUNIT_ASSERT(!settings.teams.at(1).quota);
        CPPUNIT_ASSERT(!m_records.decode({"op/config", 1, R"({"Version":"x"})"}));
    }

    // Guards against storing a value of an engine's entry in the wrong field.
    void engineEntryIsParsed()
    {
        const auto content = m_records.decode({"servers/i-1", 1, engineText});
        CPPUNIT_ASSERT(content);
        const auto &entry = std::get<dispatch::engine_entry>(content.value());
        const dispatch::engine_entry expected{.id = "i-1",
                                              .upstream = "s1",
                                              .address = "10.128.0.9:8080",
                                              .domain = "z1",
                                              .slots = 18,
                                              .draining = true,
                                              .coldRemaining = 1'500ms,
                                              .startedAt = 1'790'000'000'123,
                                              .sequence = 4};
        CPPUNIT_ASSERT(entry == expected);
    }

    // Guards against requests to an engine whose entry another writer has overwritten.
    void invalidEngineEntriesAreRejected()
    {
        const std::vector<std::string> values = {
            "",
            "\xff\xfe",
            "[]",
            "{}",
            with(engineText, R"("s1")", "1"),
            with(engineText, R"("10.128.0.9:8080")", R"("nowhere")"),
            with(engineText, R"("z1")", "null"),
            with(engineText, R"("draining")", R"("resting")"),
            with(engineText, "18", R"("18")"),
            with(engineText, "1500", "-1"),
            with(engineText, R"("ColdLeftMs":1500,)", ""),
        };
        for (const std::string &value : values)
            CPPUNIT_ASSERT_MESSAGE(value, !m_records.decode({"servers/i-1", 1, value}));
    }

    // Guards against sending requests to an evacuated failure domain.
    void evacuationIsParsed()
    {
        const auto content = m_records.decode({"op/evacuate/z1", 1, "{}"});
        CPPUNIT_ASSERT_EQUAL(std::string("z1"),
                             std::get<gateway::evacuated_domain>(content.value()).name);
        CPPUNIT_ASSERT_EQUAL(std::string("z1"),
                             std::string(m_records.evacuatedDomainOfKey("op/evacuate/z1")));
        CPPUNIT_ASSERT(m_records.evacuatedDomainOfKey("op/config").empty());
    }

    // Guards against a failure caused by an unrelated record.
    void unrelatedKeysAreIgnored()
    {
        const auto content = m_records.decode({"op/other", 1, "\xff"});
        CPPUNIT_ASSERT(std::holds_alternative<gateway::unrelated_record>(content.value()));
    }

private:
    platform_records m_records;
};

CPPUNIT_TEST_SUITE_REGISTRATION(platform_records_test);
