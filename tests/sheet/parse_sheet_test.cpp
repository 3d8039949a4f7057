#include "sheet/error_list.h"
#include "sheet/json_edit.h"
#include "sheet/parse_json.h"
#include "sheet/parse_sheet.h"
#include "sheet/write_sheet.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <string_view>

using namespace comfreypass;
using namespace comfreypass::sheet;

namespace {

constexpr std::string_view minimalSheet = R"({
    "revision": 1, "fleet": {"entry_nodes": 3}, "halves": ["north", "south"],
    "failure_domains": {"d1": {"region": "r"}, "d2": {"region": "r", "state": "out"}},
    "generations": {"g1": {"prefill_tokens_per_second": 5000, "decode_tokens_per_second": 40,
                           "slots": 8}},
    "upstreams": {
        "chat": {"owner": "north", "models": ["m"]},
        "desk": {"owner": "south", "kind": "service", "shared_with": ["north"],
                 "operations": [{"method": "POST", "path": "/book"}]}},
    "teams": {"a": {"half": "north", "tiers": {"0": {"in_flight": 4}}, "token_sha256":
        "0000000000000000000000000000000000000000000000000000000000000001"}}
})";

struct invalid_value_case
{
    const char *pointer; // The value to replace, or to add if its parent has no such key.
    const char *value;
    const char *where; // Expected pointer of the error.
    const char *detail;
};

constexpr invalid_value_case invalidValues[] = {
    {"/revision", "0", "/revision", "out of range"},
    {"/revision", "9007199254740992", "/revision", "out of range"},
    {"/revision", "18446744073709551615", "/revision", "out of range"},
    {"/revision", "1e999", "/revision", "out of range"},
    {"/revision", "1.5", "/revision", "not an integer"},
    {"/revision", "\"1\"", "/revision", "is a string"},
    {"/revision", "null", "/revision", "is null"},
    {"/typo", "1", "/typo", "unknown"},
    {"/fleet", "{}", "/fleet/entry_nodes", "missing"},
    {"/fleet/entry_nodes", "0", "/fleet/entry_nodes", "out of range"},
    {"/halves", "[]", "/halves", "no half"},
    {"/halves/1", "\"north\"", "/halves/1", "listed twice"},
    {"/failure_domains", "{}", "/failure_domains", "no failure domain"},
    {"/failure_domains/d1", "{}", "/failure_domains/d1/region", "missing"},
    {"/failure_domains/d1/state", "\"gone\"", "/failure_domains/d1/state", "not a known keyword"},
    {"/failure_domains/a b", "{\"region\": \"r\"}", "/failure_domains/a b", "must be a name"},
    {"/generations", "{}", "/generations", "no generation"},
    {"/generations/g1/slots", "-1", "/generations/g1/slots", "out of range"},
    {"/generations/g1/decode_tokens_per_second", "0", "/generations/g1/decode_tokens_per_second",
     "out of range"},
    {"/generations/g1/decode_tokens_per_second", "1e999",
     "/generations/g1/decode_tokens_per_second", "out of range"},
    {"/upstreams/chat", "{\"models\": [\"m\"]}", "/upstreams/chat/owner", "missing"},
    {"/upstreams/chat/owner", "\"west\"", "/upstreams/chat/owner", "not a known half"},
    {"/upstreams/chat/shared_with", "[\"west\"]", "/upstreams/chat/shared_with",
     "not a known half"},
    {"/upstreams/chat/shared_with", "[\"north\"]", "/upstreams/chat/shared_with", "owner"},
    {"/upstreams/chat/models", "[]", "/upstreams/chat/models", "no model"},
    {"/upstreams/chat/service_slots", "4", "/upstreams/chat/service_slots", "no meaning"},
    {"/upstreams/desk/models", "[\"m\"]", "/upstreams/desk/models", "no meaning"},
    {"/upstreams/desk/cold_slots", "9", "/upstreams/desk/cold_slots", "service_slots"},
    {"/upstreams/desk/operations/1", R"({"method": "POST", "path": "/book"})",
     "/upstreams/desk/operations/1", "listed twice"},
    {"/upstreams/desk/operations/0/path", "\"/a*b\"", "/upstreams/desk/operations/0/path",
     "not accepted"},
    {"/upstreams/desk/operations/0/path", "\"/../admin\"", "/upstreams/desk/operations/0/path",
     "not accepted"},
    {"/upstreams/desk/operations/0/idempotent", "\"no\"", "/upstreams/desk/operations/0/idempotent",
     "is a string"},
    {"/teams/a/half", "\"west\"", "/teams/a/half", "not a known half"},
    {"/teams/a/tiers", "{}", "/teams/a/tiers", "no tier"},
    {"/teams/a/tiers/5", R"({"in_flight": 1})", "/teams/a/tiers/5", "tier from"},
    {"/teams/a/tiers/0/in_flight", "0", "/teams/a/tiers/0/in_flight", "out of range"},
    {"/teams/a/weight", "-1", "/teams/a/weight", "out of range"},
    {"/teams/a/token_sha256", "\"secret\"", "/teams/a/token_sha256", "not accepted"},
    {"/teams/b",
     R"({"half": "north", "tiers": {"1": {"in_flight": 1}}, "token_sha256":
        "0000000000000000000000000000000000000000000000000000000000000001"})",
     "/teams/b/token_sha256", "team \"a\""},
    {"/policy", R"({"unconfirmed": "maybe"})", "/policy/unconfirmed", "not a known keyword"},
};

} // namespace

class parse_sheet_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(parse_sheet_test);
    CPPUNIT_TEST(readsValuesAndDefaults);
    CPPUNIT_TEST(reportsEachErrorAtItsPointer);
    CPPUNIT_TEST(reportsAllErrorsAtOnce);
    CPPUNIT_TEST(rejectsDuplicateTier);
    CPPUNIT_TEST(rejectsOversizedSheet);
    CPPUNIT_TEST(allowsTwoUpstreamsWithOneModel);
    CPPUNIT_TEST(writtenSheetReadsBackEqual);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against keys that are accepted but stored in the wrong field.
    void readsValuesAndDefaults()
    {
        const auto parsed = parseSheet(minimalSheet);
        CPPUNIT_ASSERT(parsed.has_value());
        const auto &value = parsed.value();
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{3}, value.entryNodes);
        CPPUNIT_ASSERT(value.isDomainInService(core::domain_name("d1")));
        CPPUNIT_ASSERT(!value.isDomainInService(core::domain_name("d2")));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{8}, value.generations.at("g1").slots);
        const upstream_spec &desk = value.upstreams.at(core::upstream_name("desk"));
        CPPUNIT_ASSERT(desk.kind == upstream_kind::Service
                       && desk.fencing == fencing_check::Ignores);
        CPPUNIT_ASSERT(desk.isUsableBy(core::half_name("north")) && !desk.operations[0].idempotent);
        const team_spec &team = value.teams.at(core::team_name("a"));
        CPPUNIT_ASSERT(team.highestTier() == 0 && team.tiers[0]->inFlight == 4);
        CPPUNIT_ASSERT(value.policy.firstTokenTarget == std::chrono::milliseconds(1'600));
    }

    // Guards against an invalid sheet that is accepted, or an error that refers to the wrong
    // pointer.
    void reportsEachErrorAtItsPointer()
    {
        for (const invalid_value_case &each : invalidValues) {
            boost::json::value document = boost::json::parse(minimalSheet);
            setAt(document, each.pointer, boost::json::parse(each.value));
            const auto parsed = readSheet(document);
            const std::string label = std::string(each.pointer) + " = " + each.value;
            CPPUNIT_ASSERT_MESSAGE(label, !parsed);
            CPPUNIT_ASSERT_MESSAGE(label, hasError(parsed.error(), each.where, each.detail));
        }
    }

    // Guards against reporting only the first error of a document.
    void reportsAllErrorsAtOnce()
    {
        boost::json::value document = boost::json::parse(minimalSheet);
        for (const char *pointer : {"/revision", "/fleet/entry_nodes", "/generations/g1/slots",
                                    "/teams/a/weight", "/unknown"})
            setAt(document, pointer, -1);
        const auto parsed = readSheet(document);
        CPPUNIT_ASSERT(!parsed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, parsed.error().size());
    }

    // Guards against a tier limit that a second entry silently overwrites.
    void rejectsDuplicateTier()
    {
        std::string text(minimalSheet);
        const std::string tierEntry = R"("0": {"in_flight": 4})";
        text.replace(text.find(tierEntry), tierEntry.size(),
                     tierEntry + ", \"0\": {\"in_flight\": 9}");
        const auto parsed = parseSheet(text);
        CPPUNIT_ASSERT(!parsed && hasError(parsed.error(), "/teams/a/tiers/0", "given twice"));
    }

    // Guards against a sheet that exceeds the value size of the configuration service.
    void rejectsOversizedSheet()
    {
        std::string text(minimalSheet);
        text.resize(maxSheetBytes, ' ');
        CPPUNIT_ASSERT(parseSheet(text).has_value());
        const auto parsed = parseSheet(text + " ");
        CPPUNIT_ASSERT(!parsed && parsed.error().front().code == core::errc::TooLarge);
    }

    // Guards against rejecting two upstreams of one half that serve the same model.
    void allowsTwoUpstreamsWithOneModel()
    {
        boost::json::value document = boost::json::parse(minimalSheet);
        setAt(document, "/upstreams/chat-2", document.at_pointer("/upstreams/chat"));
        CPPUNIT_ASSERT(readSheet(document).has_value());
    }

    // Guards against a key that writeSheet() and readSheet() handle differently.
    void writtenSheetReadsBackEqual()
    {
        const boost::json::value written = writeSheet(parseSheet(minimalSheet).value());
        const auto again = readSheet(written);
        CPPUNIT_ASSERT(again.has_value());
        CPPUNIT_ASSERT_EQUAL(boost::json::serialize(written),
                             boost::json::serialize(writeSheet(again.value())));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(parse_sheet_test);
