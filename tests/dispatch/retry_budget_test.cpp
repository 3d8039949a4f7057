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
    CPPUNIT_TEST(fleetKeepsTheLimit);
    CPPUNIT_TEST(restartedNodesKeepTheLimit);
    CPPUNIT_TEST(budgetIsRestoredAfterTheWindow);
    CPPUNIT_TEST(checkingTheBudgetSpendsNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a retry storm when every request fails at every node.
    void fleetKeepsTheLimit()
    {
        std::vector<retry_budget> nodes(8, retry_budget(m_limits));
        const fleet_share share{.known = 8, .reachable = 8};
        int retries = 0;
        int requests = 0;
        for (core::time_point now = m_start; now < m_start + 10s; now += 5ms) {
            retry_budget &node = nodes[static_cast<std::size_t>(requests) % nodes.size()];
            node.onRequest("u", now);
            ++requests;
            if (node.tryRetry("u", share, now))
                ++retries;
        }
        CPPUNIT_ASSERT(retries > 0);
        CPPUNIT_ASSERT(retries <= m_limits.ratio * requests + m_limits.extra);
    }

    // Guards against a fleet that restarts as a whole with full retry budgets.
    void restartedNodesKeepTheLimit()
    {
        const fleet_share share{.known = 8, .reachable = 8};
        int retries = 0;
        for (int incarnation = 0; incarnation < 2; ++incarnation) {
            std::vector<retry_budget> nodes(8, retry_budget(m_limits));
            for (retry_budget &node : nodes) {
                while (node.tryRetry("u", share, m_start))
                    ++retries;
            }
        }
        CPPUNIT_ASSERT(retries <= m_limits.extra);
    }

    // Guards against a budget that is never restored.
    void budgetIsRestoredAfterTheWindow()
    {
        retry_budget node(m_limits);
        const fleet_share alone;
        while (node.tryRetry("u", alone, m_start)) {
        }
        CPPUNIT_ASSERT(!node.tryRetry("u", alone, m_start + 9s));
        CPPUNIT_ASSERT(node.tryRetry("u", alone, m_start + 11s));
    }

    // Guards against a request that spends the budget each time it asks for another engine.
    void checkingTheBudgetSpendsNothing()
    {
        retry_budget node(m_limits);
        const fleet_share alone;
        for (int i = 0; i < 100; ++i)
            CPPUNIT_ASSERT(node.mayRetry("u", alone, m_start));
        while (node.tryRetry("u", alone, m_start)) {
        }
        CPPUNIT_ASSERT(!node.mayRetry("u", alone, m_start));
    }

private:
    retry_limits m_limits{.ratio = 0.2, .extra = 56, .window = 10s};
    core::time_point m_start{1h};
};

CPPUNIT_TEST_SUITE_REGISTRATION(retry_budget_test);
