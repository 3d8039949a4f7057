#include "sheet/sheet_document.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace comfreypass;
using sheet::sheet_document;

class sheet_document_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(sheet_document_test);
    CPPUNIT_TEST(equalContentHasEqualDigests);
    CPPUNIT_TEST(differentContentHasDifferentDigests);
    CPPUNIT_TEST(rejectsExcessiveSizeAndDepth);
    CPPUNIT_TEST(duplicateKeysAreRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against nodes that compute different keys for one sheet because of its formatting.
    void equalContentHasEqualDigests()
    {
        const auto first = create("{\"b\": {\"y\": [1, {\"q\": 1, \"p\": 2}], \"x\": \"é\\n\"},"
                                  " // note\n \"a\": 1,}");
        const auto second = create(R"({"a":1,"b":{"x":"\u00e9\u000a","y":[1,{"p":2,"q":1}]}})");
        CPPUNIT_ASSERT(first && second);
        CPPUNIT_ASSERT_EQUAL(first.value().text(), second.value().text());
        CPPUNIT_ASSERT(first.value().key() == second.value().key());
        const auto again = create(first.value().text());
        CPPUNIT_ASSERT_EQUAL(first.value().text(), again.value().text());
    }

    // Guards against a changed sheet that is mistaken for the current one.
    void differentContentHasDifferentDigests()
    {
        CPPUNIT_ASSERT(create(R"({"a":[1,2]})").value().key()
                       != create(R"({"a":[2,1]})").value().key());
    }

    // Guards against a document that exhausts the memory or the stack of every node.
    void rejectsExcessiveSizeAndDepth()
    {
        const std::string large = "{\"a\":\"" + std::string(sheet::maxSheetBytes, 'x') + "\"}";
        CPPUNIT_ASSERT(create(large).error().code == core::errc::TooLarge);
        const std::string nested = std::string(100, '[') + std::string(100, ']');
        CPPUNIT_ASSERT(create(nested).error().code == core::errc::ParseFailed);
        CPPUNIT_ASSERT(create("{\"a\":").error().code == core::errc::ParseFailed);
    }

    // Guards against a duplicate key for which nodes might use different values.
    void duplicateKeysAreRejected() { CPPUNIT_ASSERT(!create(R"({"a":1,"a":2})")); }

private:
    static core::result<sheet_document> create(std::string_view text)
    {
        return sheet_document::create(
            text, 1, [](std::string_view) -> core::result<std::shared_ptr<const sheet::sheet>> {
                return std::make_shared<const sheet::sheet>();
            });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(sheet_document_test);
