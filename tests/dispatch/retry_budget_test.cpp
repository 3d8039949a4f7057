#include "dispatch/retry_budget.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <vector>

using namespace comfreypass;
using namespace comfreypass::dispatch;
using namespace std::chrono_literals;

class retry_budget_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(retry_budget_test);
    CPPUNIT_TEST(fleetKeepsTheSum);
    CPPUNIT_TEST(restartedNodesDoNotAddToTheSum);
    CPPUNIT_TEST(budgetComesBackWithTheWindow);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a retry storm: every request fails, at every node.
    void fleetKeepsTheSum()
    {
        std::vector<retry_budget> nodes(8, retry_budget(m_limits));
        const fleet_share share{.known = 8, .reachable = 8};
        int repeats = 0;
        int requests = 0;
        for (core::time_point now = m_start; now < m_start + 10s; now += 5ms) {
            retry_budget &node = nodes[static_cast<std::size_t>(requests) % nodes.size()];
            node.onRequest("u", now);
            ++requests;
            if (node.tryRetry("u", share, now))
                ++repeats;
        }
        CPPUNIT_ASSERT(repeats > 0);
        CPPUNIT_ASSERT(repeats <= m_limits.ratio * requests + m_limits.extra);
    }

    // Guards against a fleet that is killed together and starts with fresh budgets.
    void restartedNodesDoNotAddToTheSum()
    {
        const fleet_share share{.known = 8, .reachable = 8};
        int repeats = 0;
        for (int life = 0; life < 2; ++life) {
            std::vector<retry_budget> nodes(8, retry_budget(m_limits));
            for (retry_budget &node : nodes) {
                while (node.tryRetry("u", share, m_start))
                    ++repeats;
            }
        }
        CPPUNIT_ASSERT(repeats <= m_limits.extra);
    }

    // Guards against a budget that is spent for ever.
    void budgetComesBackWithTheWindow()
    {
        retry_budget node(m_limits);
        const fleet_share alone;
        while (node.tryRetry("u", alone, m_start)) {
        }
        CPPUNIT_ASSERT(!node.tryRetry("u", alone, m_start + 9s));
        CPPUNIT_ASSERT(node.tryRetry("u", alone, m_start + 11s));
    }

private:
    retry_limits m_limits{.ratio = 0.2, .extra = 56, .window = 10s};
    core::time_point m_start{1h};
};

CPPUNIT_TEST_SUITE_REGISTRATION(retry_budget_test);
