#include "dispatch/engine_fit.h"
#include "dispatch/prefill_backlog.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <vector>

using namespace comfreypass;
using namespace comfreypass::dispatch;
using namespace std::chrono_literals;

class prefill_backlog_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(prefill_backlog_test);
    CPPUNIT_TEST(shortPromptIsDelayedByItsOwnLengthOnly);
    CPPUNIT_TEST(readTokensNoLongerDelay);
    CPPUNIT_TEST(reportsOfAPeerReplaceEachOther);
    CPPUNIT_TEST(promptsWithoutAnEndExpire);
    CPPUNIT_TEST(laterPromptsCountAsShared);
    CPPUNIT_TEST(urgentPromptsAreNotDelayed);
    CPPUNIT_TEST(waitingEndsBeforeTheObjective);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a long prompt that makes an engine look slow for short ones.
    void shortPromptIsDelayedByItsOwnLengthOnly()
    {
        prefill_backlog backlog;
        backlog.add(1, {.request = 1, .tokens = 50'000, .startedAt = m_now}, 1e-4);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(600, backlog.sharedTokens(1, 600, 1e-4, m_now), 1e-6);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0, backlog.sharedTokens(2, 600, 1e-4, m_now), 1e-6);
    }

    // Guards against predictions that count tokens that the engine has already read.
    void readTokensNoLongerDelay()
    {
        prefill_backlog backlog;
        backlog.add(1, {.request = 1, .tokens = 2'000, .startedAt = m_now}, 1e-4);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1'000, backlog.sharedTokens(1, 5'000, 1e-4, m_now + 100ms),
                                     1e-6);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0, backlog.sharedTokens(1, 5'000, 1e-4, m_now + 1s), 1e-6);
    }

    // Guards against sums that drift when statuses and updates of peers overlap.
    void reportsOfAPeerReplaceEachOther()
    {
        prefill_backlog backlog;
        const std::vector<engine_load> loads = {{1, 2, 3'000}, {2, 1, 500}};
        backlog.setPeerLoads(7, loads);
        backlog.setPeerLoad(8, {1, 1, 1'000});
        CPPUNIT_ASSERT_DOUBLES_EQUAL(4'000, backlog.peerTokens(1), 0);
        backlog.setPeerLoad(7, {1, 1, 200});
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1'200, backlog.peerTokens(1), 0);
        backlog.setPeerLoads(7, {});
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1'000, backlog.peerTokens(1), 0);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0, backlog.peerTokens(2), 0);
    }

    // Guards against an engine that is avoided forever because the end of a request was missed.
    void promptsWithoutAnEndExpire()
    {
        prefill_backlog backlog;
        backlog.add(1, {.request = 1, .tokens = 2'000, .startedAt = m_now}, 0);
        backlog.expire(1, m_now + prefill_backlog::maxAge);
        CPPUNIT_ASSERT_EQUAL(2'000U, backlog.ownTokens(1));
        backlog.expire(1, m_now + prefill_backlog::maxAge + 1ms);
        CPPUNIT_ASSERT_EQUAL(0U, backlog.ownTokens(1));
        CPPUNIT_ASSERT(!backlog.remove(1, 1));
    }

    // Guards against a busy engine that is learned as a slow one.
    void laterPromptsCountAsShared()
    {
        prefill_backlog backlog;
        backlog.add(1, {.request = 1, .tokens = 4'000, .startedAt = m_now}, 1e-4);
        backlog.add(1, {.request = 2, .tokens = 1'000, .startedAt = m_now + 100ms}, 1e-4);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1'000, backlog.remove(1, 2)->sharedTokens, 1e-6);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1'000, backlog.remove(1, 1)->sharedTokens, 1e-6);
    }

    // Guards against a long prompt that is placed beside one that it makes late.
    void urgentPromptsAreNotDelayed()
    {
        prefill_backlog backlog;
        backlog.add(
            1, {.request = 1, .tokens = 4'000, .startedAt = m_now, .objectiveAt = m_now + 500ms},
            1e-4);
        backlog.add(2,
                    {.request = 2, .tokens = 4'000, .startedAt = m_now, .objectiveAt = m_now + 5s},
                    1e-4);
        const engine_speed speed{.eventIntervalSeconds = 0.01, .prefillSecondsPerToken = 1e-4};
        CPPUNIT_ASSERT(fitOf(m_request, speed, backlog, 2, m_now).cost + 0.5
                       < fitOf(m_request, speed, backlog, 1, m_now).cost);
    }

    // Guards against requests that wait for a faster engine until they are late at any.
    void waitingEndsBeforeTheObjective()
    {
        const engine_fit later{.firstEventSeconds = 0.3, .meetsObjective = true};
        fit_request request = m_request;
        CPPUNIT_ASSERT(isWorthWaiting(request, later));
        request.objectiveLeft = 400ms;
        CPPUNIT_ASSERT(!isWorthWaiting(request, later));
    }

private:
    core::time_point m_now{1h};
    fit_request m_request{.promptTokens = 4'000, .objective = 1s, .objectiveLeft = 1s};
};

CPPUNIT_TEST_SUITE_REGISTRATION(prefill_backlog_test);
