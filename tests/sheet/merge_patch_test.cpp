#include "sheet/merge_patch.h"

#include <boost/json/parse.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <random>
#include <string>

using namespace comfreypass::sheet;
namespace json = boost::json;

class merge_patch_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(merge_patch_test);
    CPPUNIT_TEST(appliesTheExamplesOfRfc7396);
    CPPUNIT_TEST(createdPatchesProduceTheTarget);
    CPPUNIT_TEST(patchContainsOnlyChangedMembers);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against patches that other implementations apply differently (RFC 7396, appendix A).
    void appliesTheExamplesOfRfc7396()
    {
        const char *const examples[][3] = {
            {R"({"a":"b"})", R"({"a":"c"})", R"({"a":"c"})"},
            {R"({"a":"b"})", R"({"b":"c"})", R"({"a":"b","b":"c"})"},
            {R"({"a":"b"})", R"({"a":null})", R"({})"},
            {R"({"a":"b","b":"c"})", R"({"a":null})", R"({"b":"c"})"},
            {R"({"a":["b"]})", R"({"a":"c"})", R"({"a":"c"})"},
            {R"({"a":"c"})", R"({"a":["b"]})", R"({"a":["b"]})"},
            {R"({"a":{"b":"c"}})", R"({"a":{"b":"d","c":null}})", R"({"a":{"b":"d"}})"},
            {R"({"a":[{"b":"c"}]})", R"({"a":[1]})", R"({"a":[1]})"},
            {R"(["a","b"])", R"(["c","d"])", R"(["c","d"])"},
            {R"({"a":"b"})", R"(["c"])", R"(["c"])"},
            {R"({"a":"foo"})", "null", "null"},
            {R"({"a":"foo"})", R"("bar")", R"("bar")"},
            {R"({"e":null})", R"({"a":1})", R"({"e":null,"a":1})"},
            {"[1,2]", R"({"a":"b","c":null})", R"({"a":"b"})"},
            {"{}", R"({"a":{"bb":{"ccc":null}}})", R"({"a":{"bb":{}}})"},
        };
        for (const auto &example : examples)
            CPPUNIT_ASSERT(applyMergePatch(json::parse(example[0]), json::parse(example[1]))
                           == json::parse(example[2]));
    }

    // Guards against nodes that hold different sheets after a patch.
    void createdPatchesProduceTheTarget()
    {
        std::mt19937 random(7);
        for (int i = 0; i < 2'000; ++i) {
            const json::value from = makeValue(random, 4);
            const json::value to = makeValue(random, 4);
            CPPUNIT_ASSERT(applyMergePatch(from, createMergePatch(from, to)) == to);
        }
    }

    // Guards against transmitting the whole sheet for a small change.
    void patchContainsOnlyChangedMembers()
    {
        const auto from = json::parse(R"({"a":{"x":1,"y":2},"b":3,"c":[1,2]})");
        const auto to = json::parse(R"({"a":{"x":1,"y":5},"c":[1,2]})");
        CPPUNIT_ASSERT(createMergePatch(from, to) == json::parse(R"({"a":{"y":5},"b":null})"));
    }

private:
    static json::value makeValue(std::mt19937 &random, int depth)
    {
        if (depth == 0 || random() % 4 == 0)
            return static_cast<std::int64_t>(random() % 3);
        json::object object;
        for (int i = 0; i < 3; ++i) {
            if (random() % 2 == 0)
                object[std::string(1, static_cast<char>('a' + random() % 4))]
                    = makeValue(random, depth - 1);
        }
        return object;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(merge_patch_test);
