#include "sheet/json_edit.h"
#include "sheet/parse_sheet.h"
#include "sheet/sheet_diff.h"

#include <boost/json/parse.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <string_view>

using namespace comfreypass;
using namespace comfreypass::sheet;

namespace {

constexpr std::string_view base = R"({
    "revision": 1, "fleet": {"entry_nodes": 3}, "halves": ["north", "south"],
    "failure_domains": {"d1": {"region": "r"}, "d2": {"region": "r"}},
    "generations": {"g1": {"prefill_tokens_per_second": 5000, "decode_tokens_per_second": 40,
                           "slots": 8}},
    "upstreams": {
        "chat": {"owner": "north", "shared_with": ["south"], "models": ["m"]},
        "desk": {"owner": "north", "kind": "service",
                 "operations": [{"method": "POST", "path": "/book"}]}},
    "teams": {
        "a": {"half": "north", "tiers": {"0": {"in_flight": 4}, "2": {"in_flight": 4}},
              "token_sha256": "0000000000000000000000000000000000000000000000000000000000000001"},
        "b": {"half": "south", "tiers": {"1": {"in_flight": 4}, "2": {"in_flight": 4}},
              "token_sha256": "0000000000000000000000000000000000000000000000000000000000000002"}}
})";

struct edit_case
{
    const char *pointer;
    const char *value;
    severity level; // Expected effect.
    const char *where;
    const char *detail;
};

std::vector<sheet_change> changesOf(const edit_case &edit, int revision = 2)
{
    boost::json::value document = boost::json::parse(base);
    const auto before = readSheet(document);
    setAt(document, "/revision", revision);
    setAt(document, edit.pointer, boost::json::parse(edit.value));
    return sheetDiff(before.value(), readSheet(document).value());
}

} // namespace

class sheet_diff_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(sheet_diff_test);
    CPPUNIT_TEST(equalSheetsHaveNoChange);
    CPPUNIT_TEST(reportsEachEffectWithItsSeverity);
    CPPUNIT_TEST(mostSevereChangesComeFirst);
    CPPUNIT_TEST(revisionMustIncrease);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against reported changes between equal sheets, which hide real ones.
    void equalSheetsHaveNoChange()
    {
        const auto value = readSheet(boost::json::parse(base));
        CPPUNIT_ASSERT(sheetDiff(value.value(), value.value()).empty());
    }

    // Guards against a harmful change that is reported as harmless or not at all.
    void reportsEachEffectWithItsSeverity()
    {
        const edit_case edits[] = {
            {"/failure_domains/d2/state", "\"out\"", severity::Warning, "/failure_domains/d2",
             "taken out"},
            {"/failure_domains/d2/state", "\"out\"", severity::Warning, "/failure_domains",
             "1 of 2"},
            {"/failure_domains",
             R"({"d1": {"region": "r", "state": "out"}, "d2": {"region": "r", "state": "out"}})",
             severity::Dangerous, "/failure_domains", "no failure domain"},
            {"/failure_domains/d3", R"({"region": "r"})", severity::Info, "/failure_domains/d3",
             "added"},
            {"/generations/g1/slots", "4", severity::Warning, "/generations/g1/slots", "lowered"},
            {"/upstreams/chat/shared_with", "[]", severity::Warning, "/upstreams/chat/shared_with",
             "south may no longer"},
            {"/upstreams/chat/shared_with", "[]", severity::Dangerous, "/teams/b",
             "without a usable upstream"},
            {"/upstreams/chat/shared_with", "[]", severity::Dangerous, "/teams", "tier 1"},
            {"/upstreams/chat/shared_with", "[]", severity::Warning, "/teams",
             "tier 2 loses 4 of 8"},
            {"/upstreams/chat/models", "[\"n\"]", severity::Dangerous, "/teams/a", "model m"},
            {"/upstreams/chat/cold_slots", "3", severity::Warning, "/upstreams/chat/cold_slots",
             "collapses"},
            {"/upstreams/chat/fencing", "\"refuses\"", severity::Warning, "/upstreams/chat/fencing",
             "from ignores to refuses"},
            {"/upstreams", R"({"chat": {"owner": "north", "models": ["m"]}})", severity::Dangerous,
             "/upstreams/desk", "removed"},
            {"/upstreams/desk/operations",
             R"([{"method": "POST", "path": "/book", "idempotent": true}])", severity::Warning,
             "/upstreams/desk/operations", "preempted"},
            {"/teams/a/tiers/0/in_flight", "2", severity::Warning, "/teams/a/tiers/0/in_flight",
             "lowered"},
            {"/teams/a/tiers", R"({"2": {"in_flight": 4}})", severity::Dangerous, "/teams",
             "tier 0"},
            {"/teams/a/weight", "2", severity::Info, "/teams/a/weight", "from 1 to 2"},
            {"/teams", "{}", severity::Dangerous, "/teams/a", "removed"},
            {"/fleet/entry_nodes", "2", severity::Warning, "/fleet/entry_nodes", "vote shares"},
            {"/policy", R"({"unconfirmed": "serve"})", severity::Warning, "/policy/unconfirmed",
             "domain that is out"},
            {"/policy", R"({"default_deadline_ms": 1000})", severity::Warning,
             "/policy/default_deadline_ms", "from 30000 ms to 1000 ms"},
        };
        for (const edit_case &edit : edits) {
            const auto changes = changesOf(edit);
            const bool isReported
                = std::any_of(changes.begin(), changes.end(), [&](const sheet_change &each) {
                      return each.level == edit.level && each.where == edit.where
                             && each.detail.find(edit.detail) != std::string::npos;
                  });
            CPPUNIT_ASSERT_MESSAGE(
                std::string(edit.pointer) + " = " + edit.value + ": " + edit.detail, isReported);
        }
    }

    // Guards against a dangerous effect that is listed after many harmless ones.
    void mostSevereChangesComeFirst()
    {
        const auto changes = changesOf({"/upstreams/chat/shared_with", "[]", {}, "", ""});
        CPPUNIT_ASSERT(changes.front().level == severity::Dangerous);
        CPPUNIT_ASSERT(changes.back().level == severity::Info);
    }

    // Guards against loading a sheet that every node ignores as outdated.
    void revisionMustIncrease()
    {
        const auto changes = changesOf({"/teams/a/weight", "2", {}, "", ""}, 1);
        CPPUNIT_ASSERT(changes.front().where == "/revision");
        CPPUNIT_ASSERT(changes.front().level == severity::Dangerous);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(sheet_diff_test);
