#include "support/early_response.h"
#include "support/loopback.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace comfreypass::tests;

class early_chunks_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(early_chunks_test);
    CPPUNIT_TEST(responseInChunksBeforeTheResetOfAnUploadIsComplete);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a failure for a response that its last chunk shows to be whole, if its sender
    // then resets the connection on which it has not read the rest of the request.
    void responseInChunksBeforeTheResetOfAnUploadIsComplete()
    {
        const std::string response = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                     "4\r\nbody\r\n0\r\n\r\n";
        for (const early_response::upload_end end : early_response::allEnds) {
            loopback loop;
            const auto events = early_response::run(loop, response, end);
            CPPUNIT_ASSERT_EQUAL(std::string("body"), events->body());
            CPPUNIT_ASSERT_MESSAGE(events->result().detail, events->result().complete);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(early_chunks_test);
