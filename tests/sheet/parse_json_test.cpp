#include "sheet/error_list.h"
#include "sheet/parse_json.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace comfreypass::sheet;

class parse_json_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(parse_json_test);
    CPPUNIT_TEST(acceptsCommentsAndTrailingCommas);
    CPPUNIT_TEST(reportsEveryDuplicateKey);
    CPPUNIT_TEST(duplicateKeysAreComparedAfterEscapes);
    CPPUNIT_TEST(rejectsEveryTruncatedDocument);
    CPPUNIT_TEST(reportsLineAndPointerOfSyntaxErrors);
    CPPUNIT_TEST(rejectsExcessiveSizeAndDepth);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against rejecting the comments that operators write into sheets.
    void acceptsCommentsAndTrailingCommas()
    {
        CPPUNIT_ASSERT(parseJson("// a\n{\"a\": [1, 2,], /* b */ }\n// c\n", 100).has_value());
    }

    // Guards against duplicate keys, of which Boost.JSON silently keeps only the last.
    void reportsEveryDuplicateKey()
    {
        const auto parsed
            = parseJson(R"({"a": {"0": 1, "0": 2}, "b": [{}, {"x/y": 1, "x/y": 2}], "a": 3})", 100);
        CPPUNIT_ASSERT(!parsed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, parsed.error().size());
        CPPUNIT_ASSERT(hasError(parsed.error(), "/a/0", "given twice"));
        CPPUNIT_ASSERT(hasError(parsed.error(), "/b/1/x~1y", "given twice"));
        CPPUNIT_ASSERT(hasError(parsed.error(), "/a", "given twice"));
    }

    // Guards against a duplicate key that is written with an escape sequence.
    void duplicateKeysAreComparedAfterEscapes()
    {
        const auto parsed = parseJson(R"({"ab": 1, "\u0061b": 2})", 100);
        CPPUNIT_ASSERT(!parsed);
        CPPUNIT_ASSERT(hasError(parsed.error(), "/ab", "given twice"));
    }

    // Guards against a partly written document that is accepted as a complete one.
    void rejectsEveryTruncatedDocument()
    {
        const std::string whole = R"({"a": {"b": [1, true, "x"]}, "c": -1.5e3})";
        for (std::size_t size = 0; size < whole.size(); ++size)
            CPPUNIT_ASSERT(!parseJson(whole.substr(0, size), 100));
        CPPUNIT_ASSERT(!parseJson(whole + "}", 100));
        CPPUNIT_ASSERT(!parseJson(whole + whole, 100));
    }

    // Guards against syntax errors without a position in a long sheet.
    void reportsLineAndPointerOfSyntaxErrors()
    {
        const auto parsed = parseJson("{\n  \"a\": {\n    \"b\": [1, oops]\n}}", 100);
        CPPUNIT_ASSERT(!parsed);
        CPPUNIT_ASSERT(hasError(parsed.error(), "/a/b/0", "line 3, column 14"));
    }

    // Guards against documents that exhaust the memory or the stack of a node.
    void rejectsExcessiveSizeAndDepth()
    {
        CPPUNIT_ASSERT(!parseJson("[1, 2, 3]", 8));
        CPPUNIT_ASSERT(parseJson("[1, 2, 3]", 9).has_value());
        const std::string nested = std::string(50, '[') + std::string(50, ']');
        const auto parsed = parseJson(nested, 1'000);
        CPPUNIT_ASSERT(!parsed);
        CPPUNIT_ASSERT(parsed.error().front().detail.find("nested") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(parse_json_test);
