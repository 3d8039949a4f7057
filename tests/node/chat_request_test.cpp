#include "node/chat_request.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace comfreypass;
using node::chat_request;
using node::parseChatRequest;

class chat_request_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(chat_request_test);
    CPPUNIT_TEST(readsModelStreamFlagAndTokenCounts);
    CPPUNIT_TEST(rejectsMalformedBodies);
    CPPUNIT_TEST(equalPrefixesGiveEqualHashes);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against estimates that ignore the caller's token limit or the stream flag.
    void readsModelStreamFlagAndTokenCounts()
    {
        const auto parsed = parseChatRequest(
            R"({"model":"m","stream":true,"max_tokens":7,"messages":[{"role":"user","content":"0123456789abcdef"}]})");
        CPPUNIT_ASSERT(parsed.has_value());
        CPPUNIT_ASSERT(parsed.value().stream);
        CPPUNIT_ASSERT_EQUAL(7U, parsed.value().cost.decodeTokens);
        CPPUNIT_ASSERT_EQUAL(5U, parsed.value().cost.prefillTokens);
    }

    // Guards against malformed bodies that reach an engine or crash the process.
    void rejectsMalformedBodies()
    {
        for (const char *body :
             {"", "[]", "{", R"({"model":"m"})", R"({"model":1,"messages":[{}]})",
              R"({"model":"m","messages":[]})", R"({"model":"m","messages":[1]})",
              R"({"model":"m","stream":"yes","messages":[{}]})",
              R"({"model":"m","max_tokens":-1,"messages":[{}]})"})
            CPPUNIT_ASSERT_MESSAGE(body, parseChatRequest(body).has_error());
        const std::string deep = std::string(100, '[') + std::string(100, ']');
        CPPUNIT_ASSERT(parseChatRequest(deep).has_error());
    }

    // Guards against prefix affinity that misses shared prefixes or matches different ones.
    void equalPrefixesGiveEqualHashes()
    {
        const auto first = parse(std::string(2'000, 'a') + "x");
        const auto second = parse(std::string(2'000, 'a') + "y");
        const auto other = parse("b" + std::string(2'000, 'a'));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, first.prefixHashes.size());
        CPPUNIT_ASSERT(first.prefixHashes == second.prefixHashes);
        CPPUNIT_ASSERT(first.prefixHashes.front() != other.prefixHashes.front());
    }

private:
    static chat_request parse(const std::string &content)
    {
        return parseChatRequest(R"({"model":"m","messages":[{"role":"user","content":")" + content
                                + R"("}]})")
            .value();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(chat_request_test);
