#include "scheduling/prefix_table.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

using namespace comfreypass::scheduling;

class prefix_table_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(prefix_table_test);
    CPPUNIT_TEST(longestPrefixIsFound);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against selection by a shorter common prefix than known, and against a stale entry in
    // an overwritten slot.
    void longestPrefixIsFound()
    {
        prefix_table table(8);
        table.insert(std::vector<std::uint64_t>{1, 2, 3}, 5);
        table.insert(std::vector<std::uint64_t>{1}, 6);
        const auto found = table.find(std::vector<std::uint64_t>{1, 2, 4});
        CPPUNIT_ASSERT(found && found->engine == 5 && found->hashes == 2);
        table.insert(std::vector<std::uint64_t>{10}, 7);
        CPPUNIT_ASSERT(table.find(std::vector<std::uint64_t>{1, 2})->engine == 6);
        CPPUNIT_ASSERT(!table.find(std::vector<std::uint64_t>{0, 9'999}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(prefix_table_test);
