#include "membership/update_queue.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace comfreypass;
using membership::update_queue;

class update_queue_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(update_queue_test);
    CPPUNIT_TEST(everyUpdateIsSent);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against starvation of updates while many members change at once.
    void everyUpdateIsSent()
    {
        update_queue queue;
        for (int i = 0; i < 100; ++i)
            queue.push(core::node_name("n" + std::to_string(i)), 2);
        for (int message = 0; message < 7; ++message) {
            const auto names = queue.next();
            CPPUNIT_ASSERT(names.size() <= update_queue::maxUpdatesPerMessage);
            for (const auto &name : names)
                queue.recordSent(name);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), queue.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(update_queue_test);
