#include "idempotency/witness_token.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

using namespace comfreypass::core;
using namespace comfreypass::idempotency;

class witness_token_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(witness_token_test);
    CPPUNIT_TEST(textRoundTrips);
    CPPUNIT_TEST(oneNodeCannotBeTwoWitnesses);
    CPPUNIT_TEST(malformedTextIsRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a token that differs after its round trip through a caller.
    void textRoundTrips()
    {
        for (std::size_t count = 0; count <= maxWitnesses; ++count) {
            const witness_token token = makeToken(count);
            const std::string text = toText(token);
            CPPUNIT_ASSERT(text.find_first_of("=+/\r\n ") == std::string::npos);
            const auto parsed = parseWitnessToken(text);
            CPPUNIT_ASSERT(parsed.has_value());
            CPPUNIT_ASSERT(parsed.value() == token);
        }
    }

    // Guards against a majority formed by a single node.
    void oneNodeCannotBeTwoWitnesses()
    {
        witness_token token = makeToken(3);
        token.witnesses[2].node.name = token.witnesses[0].node.name;
        CPPUNIT_ASSERT(parseWitnessToken(toText(token)).has_error());
    }

    // Guards against a crash on a truncated or altered header, and against its silent correction.
    void malformedTextIsRejected()
    {
        const std::string text = toText(makeToken(3));
        for (std::size_t length = 0; length < text.size(); ++length)
            CPPUNIT_ASSERT(parseWitnessToken(text.substr(0, length)).has_error());
        for (const std::string &wrong :
             {text + "A", text + "=", " " + text, std::string(5000, 'A')})
            CPPUNIT_ASSERT(parseWitnessToken(wrong).has_error());

        std::mt19937_64 random{1};
        for (int round = 0; round < 2'000; ++round) {
            std::string malformed = text;
            malformed[random() % malformed.size()] = static_cast<char>(random());
            const auto parsed = parseWitnessToken(malformed);
            if (parsed.has_value())
                CPPUNIT_ASSERT_EQUAL(malformed, toText(parsed.value()));
        }
    }

private:
    static witness_token makeToken(std::size_t count)
    {
        witness_token token;
        for (std::size_t i = 0; i < count; ++i) {
            const std::string name(i == 0 ? maxWitnessNameBytes : 1, static_cast<char>('a' + i));
            token.witnesses.push_back({{node_name{name}, ~std::uint64_t{i}}, 1'000'000 + i});
        }
        return token;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(witness_token_test);
