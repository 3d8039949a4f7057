#include "sheet/error_list.h"
#include "sheet/json_edit.h"
#include "sheet/parse_settings.h"
#include "sheet/parse_sheet.h"
#include "sheet/write_sheet.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <functional>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

using namespace comfreypass;
namespace json = boost::json;

namespace {

const std::string root = COMFREYPASS_SOURCE_DIR "/";

// Documents that contain every object of the schemas, so that each can be visited.
constexpr std::string_view fullSheet = R"({
    "revision": 1, "fleet": {"entry_nodes": 3}, "halves": ["north"],
    "failure_domains": {"name": {"region": "r"}},
    "generations": {"name": {"prefill_tokens_per_second": 5000, "decode_tokens_per_second": 40,
                             "slots": 8}},
    "upstreams": {"name": {"owner": "north", "kind": "service", "service_slots": 4096,
                           "operations": [{"method": "POST", "path": "/book"}]}},
    "teams": {"name": {"half": "north", "tiers": {"0": {"in_flight": 4}}, "token_sha256":
        "0000000000000000000000000000000000000000000000000000000000000001"}},
    "policy": {}
})";

constexpr std::string_view fullSettings = R"({
    "name": "entry-1", "failure_domain": "d1",
    "listen": {"callers": "10.0.0.1:8100", "peers": "10.0.0.1:8200", "operators": "[::1]:8300"},
    "configuration_service": {"address": "10.0.0.9:8000"},
    "instance_list": {"address": "10.0.0.9:8001"},
    "limits": {}, "timing": {}, "log": {},
    "peer_keys": {"secret_key_file": "key", "allowed": []}
})";

using error_finder = std::function<std::vector<core::error>(const json::value &)>;

struct document_kind
{
    const char *schema;
    std::string_view fullDocument;
    error_finder findErrors;
};

std::vector<core::error> sheetErrors(const json::value &document)
{
    const auto parsed = sheet::readSheet(document);
    return parsed ? std::vector<core::error>{} : parsed.error();
}

std::vector<core::error> settingsErrors(const json::value &document)
{
    const auto parsed = sheet::parseSettings(json::serialize(document));
    return parsed ? std::vector<core::error>{} : parsed.error();
}

const std::vector<document_kind> kinds = {
    {"docs/sheet.schema.json", fullSheet, sheetErrors},
    {"docs/settings.schema.json", fullSettings, settingsErrors},
};

std::string readFile(const std::string &path)
{
    std::ostringstream content;
    content << std::ifstream(root + path).rdbuf();
    return content.str();
}

/** Calls `visit` with the schema and the JSON pointer of every value that the schema describes. */
void walk(const json::value &schema, const std::string &pointer,
          const std::function<void(const json::object &, const std::string &)> &visit)
{
    const json::object &object = schema.as_object();
    visit(object, pointer);
    if (const auto *properties = object.if_contains("properties")) {
        for (const auto &member : properties->as_object())
            walk(member.value(), pointer + "/" + std::string(member.key()), visit);
    }
    if (const auto *entry = object.if_contains("additionalProperties"); entry && entry->is_object())
        walk(*entry, pointer + "/name", visit);
    if (const auto *patterns = object.if_contains("patternProperties"))
        walk(patterns->as_object().begin()->value(), pointer + "/0", visit);
    if (const auto *items = object.if_contains("items"))
        walk(*items, pointer + "/0", visit);
}

std::string remedyAt(const std::vector<core::error> &errors, const std::string &where)
{
    for (const core::error &each : errors) {
        if (each.where == where)
            return each.remedy;
    }
    return {};
}

std::set<std::string> splitList(const std::string &remedy)
{
    std::istringstream list(remedy.substr(remedy.find(':') + 1));
    std::set<std::string> result;
    for (std::string item; std::getline(list >> std::ws, item, ',');)
        result.insert(item);
    return result;
}

} // namespace

class schema_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(schema_test);
    CPPUNIT_TEST(schemaKeysMatchTheParser);
    CPPUNIT_TEST(requiredKeysMatchTheParser);
    CPPUNIT_TEST(rangesAndKeywordsMatchTheParser);
    CPPUNIT_TEST(sheetDefaultsMatchTheParser);
    CPPUNIT_TEST(operatorsPageListsEveryKeyWithItsDefault);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a key that only the parser or only the schema accepts. The parser lists its
    // keys in the remedy for an unknown key.
    void schemaKeysMatchTheParser()
    {
        forEachValue(
            [](const document_kind &kind, const json::object &schema, const std::string &pointer) {
                const auto *properties = schema.if_contains("properties");
                if (properties == nullptr)
                    return;
                CPPUNIT_ASSERT(schema.at("additionalProperties") == json::value(false));
                json::value document = json::parse(kind.fullDocument);
                setAt(document, pointer + "/zz", 1);
                const auto known = splitList(remedyAt(kind.findErrors(document), pointer + "/zz"));
                std::set<std::string> expected;
                for (const auto &member : properties->as_object())
                    expected.insert(std::string(member.key()));
                CPPUNIT_ASSERT_MESSAGE(kind.schema + pointer, expected == known);
            });
    }

    // Guards against a key that the parser requires and the schema does not, or the reverse.
    void requiredKeysMatchTheParser()
    {
        forEachValue([](const document_kind &kind, const json::object &schema,
                        const std::string &pointer) {
            if (!schema.contains("properties"))
                return;
            std::set<std::string> expected;
            if (const auto *required = schema.if_contains("required")) {
                for (const json::value &key : required->as_array())
                    expected.insert(std::string(key.as_string()));
            }
            json::value document = json::parse(kind.fullDocument);
            if (pointer.empty())
                document = json::object();
            else
                setAt(document, pointer, json::object());
            const auto errors = kind.findErrors(document);
            for (const auto &member : schema.at("properties").as_object()) {
                const std::string key(member.key());
                CPPUNIT_ASSERT_EQUAL_MESSAGE(kind.schema + pointer + "/" + key,
                                             expected.contains(key),
                                             hasError(errors, pointer + "/" + key, "is missing"));
            }
        });
    }

    // Guards against a value that the schema accepts and the parser rejects, or the reverse.
    void rangesAndKeywordsMatchTheParser()
    {
        forEachValue([](const document_kind &kind, const json::object &schema,
                        const std::string &pointer) {
            const auto isRejected = [&](const json::value &value) {
                json::value document = json::parse(kind.fullDocument);
                setAt(document, pointer, value);
                const auto errors = kind.findErrors(document);
                return !remedyAt(errors, pointer).empty();
            };
            const std::string label = kind.schema + pointer;
            if (schema.contains("minimum")) {
                const json::value &minimum = schema.at("minimum");
                const json::value &maximum = schema.at("maximum");
                CPPUNIT_ASSERT_MESSAGE(label, !isRejected(minimum) && !isRejected(maximum));
                if (schema.at("type") == "integer") {
                    CPPUNIT_ASSERT_MESSAGE(label,
                                           isRejected(minimum.to_number<std::int64_t>() - 1));
                    CPPUNIT_ASSERT_MESSAGE(label,
                                           isRejected(maximum.to_number<std::int64_t>() + 1));
                } else {
                    CPPUNIT_ASSERT_MESSAGE(label, isRejected(minimum.to_number<double>() * 0.99));
                    CPPUNIT_ASSERT_MESSAGE(label, isRejected(maximum.to_number<double>() * 1.01));
                }
            }
            if (const auto *keywords = schema.if_contains("enum")) {
                for (const json::value &keyword : keywords->as_array())
                    CPPUNIT_ASSERT_MESSAGE(label, !isRejected(keyword));
                CPPUNIT_ASSERT_MESSAGE(label, isRejected("zz"));
            }
        });
    }

    // Guards against a default in the schema that differs from the default of the parser.
    void sheetDefaultsMatchTheParser()
    {
        json::value document = json::parse(fullSheet);
        setAt(document, "/upstreams/name", json::parse(R"({"owner": "north", "kind": "service"})"));
        const json::value service = sheet::writeSheet(sheet::readSheet(document).value());
        setAt(document, "/upstreams/name", json::parse(R"({"owner": "north", "models": ["m"]})"));
        const json::value model = sheet::writeSheet(sheet::readSheet(document).value());
        walk(json::parse(readFile("docs/sheet.schema.json")), "",
             [&](const json::object &schema, const std::string &pointer) {
                 const auto *expected = schema.if_contains("default");
                 if (expected == nullptr || pointer.find("operations") != std::string::npos)
                     return;
                 json::error_code code;
                 const json::value *value = model.find_pointer(pointer, code);
                 if (value == nullptr)
                     value = service.find_pointer(pointer, code);
                 CPPUNIT_ASSERT_MESSAGE(pointer, value != nullptr);
                 const bool isEqual = expected->is_number() ? value->to_number<double>()
                                                                  == expected->to_number<double>()
                                                            : *value == *expected;
                 CPPUNIT_ASSERT_MESSAGE(pointer, isEqual);
             });
    }

    // Guards against an operators' page that lacks a key or has an outdated default.
    void operatorsPageListsEveryKeyWithItsDefault()
    {
        const std::string page = readFile("docs/operators/sheet.md");
        forEachValue(
            [&](const document_kind &kind, const json::object &schema, const std::string &pointer) {
                const std::size_t slash = pointer.rfind('/');
                const bool isElement = pointer.ends_with("/0") || pointer.ends_with("/name");
                if (slash == std::string::npos || schema.contains("properties")
                    || (isElement && pointer != "/name"))
                    return;
                const std::size_t row = page.find("\n| `" + pagePath(pointer) + "` |");
                CPPUNIT_ASSERT_MESSAGE(kind.schema + pointer, row != std::string::npos);
                const auto *value = schema.if_contains("default");
                if (value == nullptr || value->is_array())
                    return;
                const std::string text = value->is_string() ? std::string(value->as_string())
                                                            : json::serialize(*value);
                const std::string line = page.substr(row + 1, page.find('\n', row + 1) - row - 1);
                CPPUNIT_ASSERT_MESSAGE(line, line.find("| `" + text + "` |") != std::string::npos);
            });
    }

private:
    static void forEachValue(const std::function<void(const document_kind &, const json::object &,
                                                      const std::string &)> &visit)
    {
        for (const document_kind &kind : kinds) {
            walk(json::parse(readFile(kind.schema)), "",
                 [&](const json::object &schema, const std::string &pointer) {
                     visit(kind, schema, pointer);
                 });
        }
    }

    /** Converts a JSON pointer such as "/teams/name/tiers/0/in_flight" to the notation of the page:
     * "teams.{name}.tiers.{tier}.in_flight". */
    static std::string pagePath(const std::string &pointer)
    {
        std::string path;
        std::istringstream parts(pointer.substr(1));
        for (std::string part; std::getline(parts, part, '/');) {
            if (part == "name" && !path.empty())
                part = "{name}";
            else if (part == "0" && path.ends_with("tiers"))
                part = "{tier}";
            else if (part == "0") {
                path += "[]";
                continue;
            }
            path += (path.empty() ? "" : ".") + part;
        }
        return path;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(schema_test);
