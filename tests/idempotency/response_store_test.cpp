#include "idempotency/response_store.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace comfreypass::idempotency;

class response_store_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(response_store_test);
    CPPUNIT_TEST(leastRecentlyUsedIsEvicted);
    CPPUNIT_TEST(bytesAreBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against the eviction of a response that callers are still requesting.
    void leastRecentlyUsedIsEvicted()
    {
        response_store store{2, 1'000'000};
        CPPUNIT_ASSERT(store.insert({1, 1}, response("one")));
        CPPUNIT_ASSERT(store.insert({2, 2}, response("two")));
        CPPUNIT_ASSERT_EQUAL(std::string{"one"}, store.find({1, 1})->body);
        CPPUNIT_ASSERT(store.insert({3, 3}, response("three")));
        CPPUNIT_ASSERT(store.find({2, 2}) == nullptr);
        CPPUNIT_ASSERT(store.find({1, 1}) != nullptr && store.find({3, 3}) != nullptr);
    }

    // Guards against unbounded memory for large responses.
    void bytesAreBounded()
    {
        response_store store{100, 10'000};
        for (std::uint64_t key = 0; key < 50; ++key) {
            CPPUNIT_ASSERT(store.insert({key, key}, response(std::string(1'000, 'x'))));
            CPPUNIT_ASSERT(store.bytes() <= 10'000);
        }
        CPPUNIT_ASSERT(store.size() > 5);
        CPPUNIT_ASSERT(store.insert({49, 49}, response("replaced")));
        CPPUNIT_ASSERT(!store.insert({7, 7}, response(std::string(10'000, 'x'))));
        CPPUNIT_ASSERT(store.find({7, 7}) == nullptr);
        CPPUNIT_ASSERT_EQUAL(std::string{"replaced"}, store.find({49, 49})->body);
    }

private:
    static stored_response response(std::string body)
    {
        return {200, "text/plain", std::move(body)};
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(response_store_test);
