#include "platform/platform_records.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

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

/** Values that another writer may leave in place of a number. */
const std::vector<std::string> oddNumbers = {
    "-1",
    "0",
    "0.5",
    "-1e300",
    "1e300",
    "1e400",
    "2147483648",
    "4294967296",
    "4294967297",
    "9007199254740993",
    "9223372036854775808",
    "18446744073709551615",
    "18446744073709551616",
    "\"NaN\"",
    "\"Infinity\"",
    "\"18\"",
    "NaN",
    "null",
    "true",
    "[]",
    "{}",
};

std::string nested(std::size_t depth, bool closed)
{
    return std::string(depth, '[') + (closed ? std::string(depth, ']') : "");
}

} // namespace

class platform_records_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(platform_records_test);
    CPPUNIT_TEST(configurationIsParsed);
    CPPUNIT_TEST(engineEntryIsParsed);
    CPPUNIT_TEST(invalidEngineEntriesAreRejected);
    CPPUNIT_TEST(oddNumberInAnEngineEntryNamesNoEngine);
    CPPUNIT_TEST(wholeNumbersAreReadExactly);
    CPPUNIT_TEST(oddNumberInTheConfigurationStaysWithinBounds);
    CPPUNIT_TEST(deeplyNestedEntryIsRefused);
    CPPUNIT_TEST(portOutOfRangeIsRefused);
    CPPUNIT_TEST(idThatFitsNoHeaderFieldIsRefused);
    CPPUNIT_TEST(errorOfAnOddEntryIsShort);
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

    // Guards against a number that is read differently on another processor, or overflows later on.
    void oddNumberInAnEngineEntryNamesNoEngine()
    {
        using texts = std::vector<std::string>;
        struct field
        {
            std::string sound;
            std::string name;
            /** Odd values of other fields that are possible here. */
            texts allowed;
        };
        const std::vector<field> fields = {
            {R"("Slots":18)", "Slots", {}},
            {R"("ColdLeftMs":1500)", "ColdLeftMs", {"0", "0.5"}},
            {R"("Seq":4)", "Seq", {"0", "2147483648", "4294967296", "4294967297"}},
            {R"("born":1790000000123)", "born", {"0", "2147483648", "4294967296", "4294967297"}},
        };
        for (const field &each : fields) {
            for (const std::string &number : oddNumbers) {
                const std::string entry
                    = with(engineText, each.sound, "\"" + each.name + "\":" + number);
                const bool allowed = std::ranges::find(each.allowed, number) != each.allowed.end();
                CPPUNIT_ASSERT_EQUAL_MESSAGE(
                    entry, allowed, m_records.decode({"servers/i-1", 1, entry}).has_value());
            }
        }
    }

    // Guards against two starts or entries of an engine that look the same after a conversion.
    void wholeNumbersAreReadExactly()
    {
        std::string text = with(engineText, "1790000000123", "9007199254740991");
        text = with(text, R"("Seq":4)", R"("Seq":4294967297)");
        text = with(text, "18", "1.8e1");
        const auto content = m_records.decode({"servers/i-1", 1, text});
        CPPUNIT_ASSERT(content);
        const auto &entry = std::get<dispatch::engine_entry>(content.value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9'007'199'254'740'991}, entry.startedAt);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4'294'967'297}, entry.sequence);
        CPPUNIT_ASSERT_EQUAL(18U, entry.slots);
        const auto settings = platform_records::readConfiguration(
            with(configurationText, R"("Version":7)", R"("Version":9007199254740993)"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9'007'199'254'740'993}, settings.value().version);
    }

    // Guards against a time or size of the operator that overflows when it is used.
    void oddNumberInTheConfigurationStaysWithinBounds()
    {
        const std::vector<std::pair<std::string, std::string>> fields = {
            {R"("Version":7)", "Version"},
            {R"("TimeoutMs":15000)", "TimeoutMs"},
            {R"("AimMs":500)", "AimMs"},
            {R"("Priority":0)", "Priority"},
            {R"("MaxAttempts":2)", "MaxAttempts"},
            {R"("Weight":90)", "Weight"},
            {R"("MaxConns":620)", "MaxConns"},
            {R"("ColdS":3.0)", "ColdS"},
            {R"("ColdPerS":24.0)", "ColdPerS"},
            {R"("MaxHeaderBytes":100)", "MaxHeaderBytes"},
            {R"("MaxBodyBytes":200)", "MaxBodyBytes"},
            {R"("HeaderTimeoutMs":3000)", "HeaderTimeoutMs"},
            {R"("IdleTimeoutMs":15000)", "IdleTimeoutMs"},
            {R"("Priority":1)", "Priority"},
            {R"("PlainTokens":200)", "PlainTokens"},
            {R"("RatePerS":270192)", "RatePerS"},
            {R"("Burst":1000)", "Burst"},
        };
        for (const auto &[sound, name] : fields) {
            for (const std::string &number : oddNumbers) {
                const std::string text
                    = with(configurationText, sound, "\"" + name + "\":" + number);
                const auto read = platform_records::readConfiguration(text);
                if (read)
                    checkBounds(read.value(), name + " " + number);
            }
        }
    }

    // Guards against a parser that runs out of stack, or is busy for long.
    void deeplyNestedEntryIsRefused()
    {
        for (const std::size_t depth : std::vector<std::size_t>{100, 10'000, 1'000'000}) {
            for (const bool closed : {true, false}) {
                const std::string value = nested(depth, closed);
                const std::string inside = with(engineText, R"("v1")", value);
                CPPUNIT_ASSERT(!m_records.decode({"servers/i-1", 1, value}));
                CPPUNIT_ASSERT(!m_records.decode({"servers/i-1", 1, inside}));
            }
        }
    }

    // Guards against a port that becomes another one by a conversion.
    void portOutOfRangeIsRefused()
    {
        for (const std::string port : {"0", "65536", "-1", "99999999999", "73616", "8080x", "+80",
                                       "8080.0", " 8080", "", "18446744073709559696"}) {
            const std::string entry = with(engineText, ":8080", ":" + port);
            CPPUNIT_ASSERT_MESSAGE(entry, !m_records.decode({"servers/i-1", 1, entry}));
        }
        CPPUNIT_ASSERT(m_records.decode({"servers/i-1", 1, with(engineText, ":8080", ":65535")}));
    }

    // Guards against a request whose header is changed by the id of the selected engine.
    void idThatFitsNoHeaderFieldIsRefused()
    {
        using namespace std::string_literals;
        for (const std::string &id :
             {"i-1\r\nComfreypass-Tenant: t"s, "i-1\n"s, "i 1"s, "i-1\0"s, "\x7f"s, "\xc3\xa9"s})
            CPPUNIT_ASSERT_MESSAGE(id, !m_records.decode({"servers/" + id, 1, engineText}));
    }

    // Guards against a log that is filled by one entry.
    void errorOfAnOddEntryIsShort()
    {
        const std::string entry
            = with(engineText, "draining", std::string(1'000'000, 'x') + R"(\r\n)");
        const auto content = m_records.decode({"servers/i-1", 1, entry});
        CPPUNIT_ASSERT(!content);
        CPPUNIT_ASSERT(describe(content.error()).size() < 300);
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
    static void checkTime(core::duration time, const std::string &what)
    {
        CPPUNIT_ASSERT_MESSAGE(what, time >= 0s && time <= 24h);
    }

    static void checkBounds(const dispatch::configuration &settings, const std::string &what)
    {
        constexpr double maxValue = 1e15;
        constexpr std::uint32_t maxCount = 1'000'000;
        constexpr std::size_t maxBytes = 1'073'741'824;
        for (const dispatch::route &each : settings.routes) {
            checkTime(each.timeout, what);
            checkTime(each.objective, what);
            CPPUNIT_ASSERT_MESSAGE(what, each.maxAttempts >= 1 && each.maxAttempts <= maxCount);
            CPPUNIT_ASSERT_MESSAGE(what, each.priority <= maxCount);
            for (const dispatch::route_target &target : each.targets)
                CPPUNIT_ASSERT_MESSAGE(what, target.weight >= 0 && target.weight <= maxValue);
        }
        for (const dispatch::upstream_settings &each : settings.upstreams) {
            checkTime(each.coldTime, what);
            CPPUNIT_ASSERT_MESSAGE(what, each.connectionsPerEngine <= maxCount);
            CPPUNIT_ASSERT_MESSAGE(what, each.coldRequestsPerSecond >= 0
                                             && each.coldRequestsPerSecond <= maxValue);
        }
        for (const dispatch::team &each : settings.teams) {
            CPPUNIT_ASSERT_MESSAGE(what, each.priority.value_or(0) <= maxCount);
            if (!each.quota)
                continue;
            for (const double value :
                 {each.quota->unitsPerSecond, each.quota->burstUnits, each.quota->defaultUnits})
                CPPUNIT_ASSERT_MESSAGE(what, value >= 0 && value <= maxValue);
        }
        checkTime(settings.limits.headerTimeout, what);
        checkTime(settings.limits.idleTimeout, what);
        CPPUNIT_ASSERT_MESSAGE(what, settings.limits.headerBytes <= maxBytes);
        CPPUNIT_ASSERT_MESSAGE(what, settings.limits.bodyBytes <= maxBytes);
    }

    platform_records m_records;
};

CPPUNIT_TEST_SUITE_REGISTRATION(platform_records_test);
