#include "membership/overlay.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <vector>

using namespace comfreypass;
using membership::overlay;

class overlay_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(overlay_test);
    CPPUNIT_TEST(smallFleetIsFullMesh);
    CPPUNIT_TEST(degreeIsBoundedAndSymmetric);
    CPPUNIT_TEST(diameterIsSmall);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a small fleet whose nodes do not all monitor each other.
    void smallFleetIsFullMesh()
    {
        for (std::size_t size = 1; size <= overlay::fullMeshNodes; ++size)
            CPPUNIT_ASSERT_EQUAL(size - 1, neighbours(0, makeNodes(size)).size());
    }

    // Guards against per-node traffic that grows with the fleet, and against unmonitored nodes.
    void degreeIsBoundedAndSymmetric()
    {
        const auto nodes = makeNodes(100);
        std::map<core::node_name, std::vector<core::node_name>> all;
        for (std::size_t i = 0; i < nodes.size(); ++i)
            all[nodes[i]] = neighbours(i, nodes);
        for (const auto &[name, neighbourNames] : all) {
            CPPUNIT_ASSERT(neighbourNames.size() >= 5
                           && neighbourNames.size() <= 2 * overlay::ringCount);
            for (const auto &other : neighbourNames)
                CPPUNIT_ASSERT(std::count(all[other].begin(), all[other].end(), name) == 1);
        }
    }

    // Guards against sheet dissemination that takes many hops in a fleet of 380 nodes.
    void diameterIsSmall()
    {
        const auto nodes = makeNodes(380);
        std::map<core::node_name, std::size_t> index;
        for (std::size_t i = 0; i < nodes.size(); ++i)
            index[nodes[i]] = i;
        std::vector<int> depth(nodes.size(), -1);
        std::queue<std::size_t> open;
        depth[0] = 0;
        int maxDepth = 0;
        for (open.push(0); !open.empty(); open.pop()) {
            const std::size_t node = open.front();
            maxDepth = depth[node];
            for (const auto &other : neighbours(node, nodes)) {
                if (depth[index[other]] < 0) {
                    depth[index[other]] = depth[node] + 1;
                    open.push(index[other]);
                }
            }
        }
        CPPUNIT_ASSERT(std::count(depth.begin(), depth.end(), -1) == 0);
        CPPUNIT_ASSERT(maxDepth <= 5);
    }

private:
    static std::vector<core::node_name> makeNodes(std::size_t count)
    {
        std::vector<core::node_name> nodes;
        for (std::size_t i = 0; i < count; ++i)
            nodes.emplace_back("entry-" + std::to_string(i));
        return nodes;
    }
    static std::vector<core::node_name> neighbours(std::size_t self,
                                                   const std::vector<core::node_name> &nodes)
    {
        overlay rings(nodes[self]);
        rings.rebuild(nodes);
        return rings.neighbours();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(overlay_test);
