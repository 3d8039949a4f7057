#include "sheet/error_list.h"
#include "sheet/json_edit.h"
#include "sheet/parse_settings.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <string_view>

using namespace comfreypass;
using namespace comfreypass::sheet;

namespace {

constexpr std::string_view minimalSettings = R"({
    "name": "entry-1", "failure_domain": "d1",
    "listen": {"callers": "10.0.0.1:8100", "peers": "10.0.0.1:8200", "operators": "[::1]:8300"},
    "configuration_service": {"address": "10.0.0.9:8000"},
    "instance_list": {"address": "10.0.0.9:8001"}
})";

const std::string z85(40, 'k');

struct replacement
{
    const char *pointer;
    std::string value;
    const char *where;
    const char *detail;
};

validated<parsed_settings> parseWith(const replacement &each)
{
    boost::json::value document = boost::json::parse(minimalSettings);
    setAt(document, each.pointer, boost::json::parse(each.value));
    return parseSettings(boost::json::serialize(document));
}

} // namespace

class parse_settings_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(parse_settings_test);
    CPPUNIT_TEST(minimalSettingsHaveDefaultsAndNoWarnings);
    CPPUNIT_TEST(reportsEachErrorAtItsPointer);
    CPPUNIT_TEST(reportsAllErrorsAtOnce);
    CPPUNIT_TEST(warnsAboutConflictingValues);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against defaults that change unnoticed or conflict with each other.
    void minimalSettingsHaveDefaultsAndNoWarnings()
    {
        const auto parsed = parseSettings(minimalSettings);
        CPPUNIT_ASSERT(parsed.has_value());
        CPPUNIT_ASSERT(parsed.value().warnings.empty());
        const settings &value = parsed.value().value;
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:8200"), value.listen.peers);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{1'024}, value.limits.connections);
        CPPUNIT_ASSERT(value.timing.lease == std::chrono::milliseconds(1'500));
        CPPUNIT_ASSERT(value.timing.confirmation == std::chrono::milliseconds(4'000));
        CPPUNIT_ASSERT(!value.peerKeys && !value.operatorTokenSha256);
    }

    // Guards against settings with which a node starts but is not reachable.
    void reportsEachErrorAtItsPointer()
    {
        const replacement invalidValues[] = {
            {"/name", "\"a b\"", "/name", "not accepted"},
            {"/nmae", "\"x\"", "/nmae", "unknown"},
            {"/listen/callers", "\"0.0.0.0:80\"", "/listen/callers", "not accepted"},
            {"/listen/callers", "\"localhost:80\"", "/listen/callers", "not accepted"},
            {"/listen/callers", "\"10.0.0.1:0\"", "/listen/callers", "not accepted"},
            {"/listen/callers", "\"10.0.0.1:65536\"", "/listen/callers", "not accepted"},
            {"/listen/callers", "\"::1:80\"", "/listen/callers", "not accepted"},
            {"/listen/callers", "\"10.0.0.1:8200\"", "/listen/peers", "used twice"},
            {"/listen", "{}", "/listen/operators", "missing"},
            {"/peers", "[\"10.0.0.2\"]", "/peers/0", "not accepted"},
            {"/limits", R"({"connections": 0})", "/limits/connections", "out of range"},
            {"/timing", R"({"lease_ms": -5})", "/timing/lease_ms", "out of range"},
            {"/log", R"({"level": "loud"})", "/log/level", "not a known keyword"},
            {"/peer_keys", R"({"allowed": []})", "/peer_keys", "either"},
            {"/peer_keys", R"({"allowed": ["short"], "secret_key_file": "key"})",
             "/peer_keys/allowed/0", "not accepted"},
            {"/peer_keys",
             R"({"allowed": [], "secret_key_file": "key", "secret_key": ")" + z85 + "\"}",
             "/peer_keys", "either"},
            {"/operator_token_sha256", "\"abc\"", "/operator_token_sha256", "not accepted"},
        };
        for (const replacement &each : invalidValues) {
            const auto parsed = parseWith(each);
            const std::string label = std::string(each.pointer) + " = " + each.value;
            CPPUNIT_ASSERT_MESSAGE(label, !parsed);
            CPPUNIT_ASSERT_MESSAGE(label, hasError(parsed.error(), each.where, each.detail));
        }
    }

    // Guards against reporting only the first error of a document.
    void reportsAllErrorsAtOnce()
    {
        const auto parsed = parseSettings("{\"log\": 1, \"x\": 2}");
        CPPUNIT_ASSERT(!parsed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{7}, parsed.error().size());
    }

    // Guards against valid values that conflict, for example so that nodes suspect each other.
    void warnsAboutConflictingValues()
    {
        const replacement conflicts[] = {
            {"/timing", R"({"lease_ms": 50, "ping_ms": 20})", "/timing/lease_ms", "third"},
            {"/timing", R"({"lease_ms": 700})", "/timing/lease_ms", "expire"},
            {"/timing", R"({"suspicion_ms": 900})", "/timing/suspicion_ms", "two ping"},
            {"/timing", R"({"confirmation_ms": 1400})", "/timing/confirmation_ms", "three ping"},
            {"/timing", R"({"confirmation_ms": 9000})", "/timing/confirmation_ms", "4,000"},
            {"/timing", R"({"claim_timeout_ms": 5})", "/timing/claim_timeout_ms", "20 ms"},
            {"/timing", R"({"address_keep_ms": 100})", "/timing/address_keep_ms", "suspicion_ms"},
            {"/limits", R"({"connections": 10})", "/limits/connections_per_address", "greater"},
            {"/limits", R"({"body_bytes": 2048})", "/limits/body_bytes", "header_bytes"},
            {"/peer_keys", R"({"allowed": [], "secret_key_file": "key"})", "/peer_keys/allowed",
             "empty"},
        };
        for (const replacement &each : conflicts) {
            const auto parsed = parseWith(each);
            CPPUNIT_ASSERT_MESSAGE(each.value, parsed.has_value());
            CPPUNIT_ASSERT_MESSAGE(each.value,
                                   hasError(parsed.value().warnings, each.where, each.detail));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(parse_settings_test);
