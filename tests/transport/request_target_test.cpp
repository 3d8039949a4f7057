#include "transport/request_target.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using comfreypass::transport::requestTarget;

class request_target_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_target_test);
    CPPUNIT_TEST(pathAndQueryArePercentEncoded);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against losing the query, and against request line injection by a caller.
    void pathAndQueryArePercentEncoded()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("/slots"), requestTarget("/slots", {}));
        CPPUNIT_ASSERT_EQUAL(std::string("/a%20b/c?day=2026-12-04&who=x%26y"),
                             requestTarget("/a b/c", {{"who", "x&y"}, {"day", "2026-12-04"}}));
        CPPUNIT_ASSERT_EQUAL(std::string("/a%0D%0AX%3A%201/?empty="),
                             requestTarget("/a\r\nX: 1/", {{"empty", ""}}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_target_test);
