#include "core/rendezvous.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace comfreypass::core;

class rendezvous_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(rendezvous_test);
    CPPUNIT_TEST(orderDoesNotDependOnInputOrder);
    CPPUNIT_TEST(removingOneNodeMovesOnlyItsKeys);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against nodes with the same view that choose different schedulers.
    void orderDoesNotDependOnInputOrder()
    {
        std::vector<node_name> nodes = makeNodes(16);
        const auto forward = rendezvousRank("asesor-modelo", nodes, 3);
        std::reverse(nodes.begin(), nodes.end());
        CPPUNIT_ASSERT(forward == rendezvousRank("asesor-modelo", nodes, 3));
    }

    // Guards against a membership change that moves every upstream to another scheduler.
    void removingOneNodeMovesOnlyItsKeys()
    {
        const std::vector<node_name> all = makeNodes(16);
        const std::vector<node_name> remaining(all.begin() + 1, all.end());
        for (int key = 0; key < 200; ++key) {
            const std::string text = "upstream-" + std::to_string(key);
            const node_name before = rendezvousRank(text, all, 1).front();
            const node_name after = rendezvousRank(text, remaining, 1).front();
            CPPUNIT_ASSERT(before == all.front() || before == after);
        }
    }

private:
    static std::vector<node_name> makeNodes(int count)
    {
        std::vector<node_name> nodes;
        nodes.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i)
            nodes.emplace_back("entry-" + std::to_string(i));
        return nodes;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(rendezvous_test);
