#include "dispatch/routing_index.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace comfreypass::dispatch;

class routing_index_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(routing_index_test);
    CPPUNIT_TEST(longestPrefixOfTheHostIsSelected);
    CPPUNIT_TEST(everyKeyOfATeamIsFound);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a request that is sent to the upstream of a less specific route.
    void longestPrefixOfTheHostIsSelected()
    {
        configuration settings;
        settings.routes = {{.name = "all", .host = "a.example", .pathPrefix = "/"},
                           {.name = "deep", .host = "a.example", .pathPrefix = "/x/y/"},
                           {.name = "middle", .host = "a.example", .pathPrefix = "/x/"},
                           {.name = "other", .host = "b.example", .pathPrefix = "/x/y/z/"}};
        const routing_index index(settings);
        CPPUNIT_ASSERT_EQUAL(std::string("deep"), index.find("a.example", "/x/y/z/1")->name);
        CPPUNIT_ASSERT_EQUAL(std::string("middle"), index.find("A.Example:80", "/x/yy")->name);
        CPPUNIT_ASSERT_EQUAL(std::string("all"), index.find("a.example", "/x")->name);
        CPPUNIT_ASSERT(index.find("b.example", "/x/") == nullptr);
        CPPUNIT_ASSERT(index.find("c.example", "/x/y/z/") == nullptr);
    }

    // Guards against a refused second key and an accepted unknown key.
    void everyKeyOfATeamIsFound()
    {
        configuration settings;
        settings.teams = {{.name = "one", .keys = {"k1", "k2"}}, {.name = "two", .keys = {"k3"}}};
        const routing_index index(settings);
        CPPUNIT_ASSERT_EQUAL(std::string("one"), index.teamOfKey("k2")->name);
        CPPUNIT_ASSERT_EQUAL(std::string("two"), index.teamOfKey("k3")->name);
        CPPUNIT_ASSERT(index.teamOfKey("k4") == nullptr);
        CPPUNIT_ASSERT(index.teamOfKey("") == nullptr);
        CPPUNIT_ASSERT(index.needsKeys());
        CPPUNIT_ASSERT(!routing_index({}).needsKeys());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(routing_index_test);
