#include "gateway/response_end.h"

#include <cppunit/extensions/HelperMacros.h>


using namespace comfreypass;
using namespace comfreypass::gateway;

namespace {

http1::message_head headOf(unsigned status)
{
    http1::message_head head;
    head.status = status;
    return head;
}

} // namespace

class response_end_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(response_end_test);
    CPPUNIT_TEST(responseWithoutBodyDoesNotEndWithItsConnection);
    CPPUNIT_TEST(lengthAndChunksEndAResponse);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against waiting for, or missing, a body that a response cannot have.
    void responseWithoutBodyDoesNotEndWithItsConnection()
    {
        for (const unsigned status : {204U, 205U, 304U})
            CPPUNIT_ASSERT(!endsWithConnection(headOf(status), "GET"));
        for (const unsigned status : {200U, 404U})
            CPPUNIT_ASSERT(!endsWithConnection(headOf(status), "HEAD"));
        for (const unsigned status : {200U, 201U, 206U, 303U, 404U, 500U})
            CPPUNIT_ASSERT(endsWithConnection(headOf(status), "POST"));
    }

    // Guards against a framed response that is taken for one whose end only its connection shows.
    void lengthAndChunksEndAResponse()
    {
        http1::message_head empty = headOf(200);
        empty.contentLength = 0;
        CPPUNIT_ASSERT(!endsWithConnection(empty, "GET"));
        http1::message_head chunked = headOf(200);
        chunked.chunked = true;
        CPPUNIT_ASSERT(!endsWithConnection(chunked, "GET"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(response_end_test);
