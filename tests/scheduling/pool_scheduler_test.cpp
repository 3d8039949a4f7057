#include "scheduling/pool_scheduler.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <optional>
#include <string>

using namespace comfreypass;
using namespace comfreypass::scheduling;
using std::chrono::milliseconds;

class pool_scheduler_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(pool_scheduler_test);
    CPPUNIT_TEST(repeatedRequestGetsTheSamePermit);
    CPPUNIT_TEST(heldVotesDetermineTheShare);
    CPPUNIT_TEST(reportedDispatchesCount);
    CPPUNIT_TEST(outOfServiceAndLeavingEnginesGetNothing);
    CPPUNIT_TEST(largeRequestsLeaveASlotForSmallOnes);
    CPPUNIT_TEST(fullQueueDisplacesTheLowestTier);
    CPPUNIT_TEST(fullQueuePreemptsBeforeItRefuses);
    CPPUNIT_TEST(missingVoteCostsOnlyItsColdSlots);
    CPPUNIT_TEST(withdrawnRequestLeavesTheQueue);
    CPPUNIT_TEST(requestThatCannotMeetItsDeadlinePreemptsNothing);
    CPPUNIT_TEST(urgentRequestPreemptsLowerTier);
    CPPUNIT_TEST(refusalsNameTheReason);
    CPPUNIT_TEST(prefixDecidesWithinTheLoadBound);
    CPPUNIT_TEST(pausedSchedulerGrantsNothing);
    CPPUNIT_TEST(connectionFailureResetsTheRamp);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_sheet = sheet::sheet{};
        m_sheet.entryNodes = 2;
        m_sheet.domains[core::domain_name{"braga"}] = {"norte", true};
        m_sheet.domains[core::domain_name{"porto"}] = {"norte", true};
        m_sheet.generations["g1"] = {10'000, 100, 4};
        m_sheet.upstreams[upstream()].coldSlots = 4;
        m_sheet.upstreams[upstream()].models = {core::model_name{"m"}};
        m_sheet.teams[core::team_name{"campo"}].tiers.fill(sheet::team_spec::tier_limit{5});
        m_pool.emplace(upstream(), scheduler_options{.queueCapacity = 2});
        m_pool->setSheet(std::make_shared<const sheet::sheet>(m_sheet), m_now);
        setEngines({{"e1", "braga"}});
        m_pool->setVoters(m_nodes, 2, m_now);
        m_pool->start(m_now);
        vote(0);
        vote(1);
    }

    // Guards against a second permit for the same request.
    void repeatedRequestGetsTheSamePermit()
    {
        const auto first = grantIn(requestPermit(1, 0));
        CPPUNIT_ASSERT(first.has_value());
        CPPUNIT_ASSERT(grantIn(requestPermit(1, 0)) == first);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, running());
    }

    // Guards against a scheduler that uses slots of votes it does not hold.
    void heldVotesDetermineTheShare()
    {
        m_pool->onNodeLost(m_nodes[1], m_now);
        CPPUNIT_ASSERT_EQUAL(2U, m_pool->snapshot(m_now).engines.front().share);
        for (std::uint64_t id = 1; id <= 3; ++id)
            requestPermit(id, 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, running());
    }

    // Guards against a new scheduler that ignores the dispatches of its predecessor and doubles the
    // load of an engine.
    void reportedDispatchesCount()
    {
        for (std::uint64_t id = 90; id < 93; ++id)
            m_running.push_back({id,
                                 id,
                                 core::engine_name{"e1"},
                                 0,
                                 core::team_name{"campo"},
                                 {},
                                 m_now + milliseconds{9'000},
                                 true});
        vote(1);
        requestPermit(1, 1);
        requestPermit(2, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, running());
        m_running.clear();
        m_pool->tick(m_now += milliseconds{500});
        vote(1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, running());
    }

    // Guards against new requests on engines that are leaving or out of service.
    void outOfServiceAndLeavingEnginesGetNothing()
    {
        setEngines({{"e1", "braga"}, {"e2", "porto"}});
        m_sheet.domains[core::domain_name{"braga"}].inService = false;
        m_pool->setSheet(std::make_shared<const sheet::sheet>(m_sheet), m_now);
        CPPUNIT_ASSERT(grantIn(requestPermit(1, 0))->engine.text() == "e2");
        m_list[1].leaving = true;
        m_pool->setEngines(m_list, m_now);
        CPPUNIT_ASSERT(refusalIn(requestPermit(2, 0)) == refusal_reason::NoUsableEngine);
        const auto explanations = m_pool->explain(request(3, 0), m_now);
        CPPUNIT_ASSERT(explanations[0].result == engine_explanation::status::DomainOutOfService);
        CPPUNIT_ASSERT(explanations[1].result == engine_explanation::status::Leaving);
    }

    // Guards against a small request that waits behind large ones.
    void largeRequestsLeaveASlotForSmallOnes()
    {
        for (std::uint64_t id = 1; id <= 4; ++id)
            requestPermit(id, 0, {2'000, 10});
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, running());
        CPPUNIT_ASSERT(grantIn(requestPermit(5, 0)).has_value());
    }

    // Guards against a higher tier that is refused because lower tiers fill the queue.
    void fullQueueDisplacesTheLowestTier()
    {
        fill(0);
        requestPermit(5, 2);
        requestPermit(6, 3);
        const auto sent = requestPermit(7, 1);
        CPPUNIT_ASSERT(refusalIn(sent) == refusal_reason::Displaced);
        CPPUNIT_ASSERT(std::get<permit_refusal>(sent.front().message).request == 6);
        CPPUNIT_ASSERT(refusalIn(requestPermit(8, 4)) == refusal_reason::Capacity);
    }

    // Guards against a capacity refusal while lower-tier work is running.
    void fullQueuePreemptsBeforeItRefuses()
    {
        fill(4);
        requestPermit(5, 1);
        requestPermit(6, 1);
        const auto sent = requestPermit(7, 1);
        CPPUNIT_ASSERT(sent.size() == 1
                       && std::holds_alternative<preempt_order>(sent.front().message));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, m_pool->snapshot(m_now).queued[1]);
    }

    // Guards against a cold engine that receives no request at all while one listed node is down,
    // and against the use of the slots that this node owns.
    void missingVoteCostsOnlyItsColdSlots()
    {
        m_sheet.upstreams[upstream()].coldSlots = 1;
        m_pool->setSheet(std::make_shared<const sheet::sheet>(m_sheet), m_now);
        std::vector<core::node_name> listed;
        for (const core::node_identity &node : m_nodes)
            listed.push_back(node.name);
        std::vector<sheet::engine_info> engines;
        for (int number = 0; number < 40; ++number) {
            sheet::engine_info engine;
            engine.name = core::engine_name("cold-" + std::to_string(number));
            engine.upstream = upstream();
            engine.domain = core::domain_name("braga");
            engine.generation = "g1";
            engines.push_back(engine);
        }
        m_pool->setListedNodes(listed, m_now);
        m_pool->setEngines(engines, m_now);
        CPPUNIT_ASSERT_EQUAL(40U, coldShares());

        m_pool->onNodeLost(m_nodes[1], m_now);
        const std::uint32_t left = coldShares();
        CPPUNIT_ASSERT(left > 0 && left < 40);

        m_pool->setListedNodes({m_nodes[0].name}, m_now);
        CPPUNIT_ASSERT_EQUAL(40U, coldShares());
    }

    // Guards against a permit for a request whose caller has disconnected.
    void withdrawnRequestLeavesTheQueue()
    {
        fill(0);
        requestPermit(5, 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_pool->snapshot(m_now).queued[2]);
        release(5, 0, dispatch_result::NotDispatched, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_pool->snapshot(m_now).queued[2]);
    }

    // Guards against the preemption of lower-tier work for a request that would miss its deadline
    // anyway, because the engine has queued prefill.
    void requestThatCannotMeetItsDeadlinePreemptsNothing()
    {
        for (std::uint64_t id = 1; id <= 4; ++id)
            CPPUNIT_ASSERT(grantIn(requestPermit(id, 4, {500, 1})).has_value());
        CPPUNIT_ASSERT(requestPermit(5, 1, {100, 10}, 150).empty());
        for (int ms = 0; ms < 150; ms += 10) {
            for (const outgoing &item : m_pool->tick(m_now + milliseconds{ms}))
                CPPUNIT_ASSERT(!std::holds_alternative<preempt_order>(item.message));
        }
    }

    // Guards against a request of a higher tier that misses its deadline behind lower-tier work.
    void urgentRequestPreemptsLowerTier()
    {
        fill(4);
        CPPUNIT_ASSERT(requestPermit(5, 1, {100, 10}, 600).empty());
        const auto sent = m_pool->tick(m_now + milliseconds{300});
        std::optional<preempt_order> order;
        for (const outgoing &item : sent) {
            if (const auto *found = std::get_if<preempt_order>(&item.message))
                order = *found;
        }
        CPPUNIT_ASSERT(order.has_value());
        const auto after = release(order->request, order->permit, dispatch_result::Cancelled,
                                   m_now + milliseconds{310});
        CPPUNIT_ASSERT(grantIn(after)->request == 5);
    }

    // Guards against refusals with a wrong reason.
    void refusalsNameTheReason()
    {
        CPPUNIT_ASSERT(refusalIn(requestPermit(1, 0, {100'000, 0}, 1'000))
                       == refusal_reason::DeadlineUnreachable);
        permit_request other = request(2, 0);
        other.model = core::model_name{"unknown"};
        CPPUNIT_ASSERT(refusalIn(m_pool->onPermitRequest(m_nodes[0], other, m_now))
                       == refusal_reason::NoUsableEngine);
        for (std::uint64_t id = 10; id < 15; ++id)
            requestPermit(id, 2);
        CPPUNIT_ASSERT(refusalIn(requestPermit(15, 2)) == refusal_reason::TeamLimit);
        CPPUNIT_ASSERT(refusalIn(m_pool->stepDown(m_now)) == refusal_reason::LeaseLost);
        CPPUNIT_ASSERT(refusalIn(requestPermit(16, 3)) == refusal_reason::NotScheduler);
    }

    // Guards against selection that ignores a cached prefix, and against one engine that receives
    // all requests of a prefix.
    void prefixDecidesWithinTheLoadBound()
    {
        setEngines({{"e1", "braga"}, {"e2", "porto"}});
        const auto first = grantIn(requestPermit(1, 0));
        release(1, first->permit, dispatch_result::Completed, m_now);
        const auto second = grantIn(requestPermit(2, 0));
        CPPUNIT_ASSERT(second->engine == first->engine);
        CPPUNIT_ASSERT_EQUAL(100U, second->cachedPrefillTokens);
        CPPUNIT_ASSERT(grantIn(requestPermit(3, 0))->engine != first->engine);
    }

    // Guards against grants by a scheduler whose process was paused until its votes expired.
    void pausedSchedulerGrantsNothing()
    {
        m_now += milliseconds{1'600};
        CPPUNIT_ASSERT(!grantIn(requestPermit(1, 0)));
        m_pool->tick(m_now);
        vote(0);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, running());
    }

    // Guards against full load on an engine that has restarted.
    void connectionFailureResetsTheRamp()
    {
        m_sheet.upstreams[upstream()].coldSlots = 1;
        m_pool->setSheet(std::make_shared<const sheet::sheet>(m_sheet), m_now);
        const auto limit = [&] {
            return m_pool->snapshot(m_now).engines.front().limit;
        };
        const auto first = grantIn(requestPermit(1, 0));
        release(1, first->permit, dispatch_result::Completed, m_now);
        CPPUNIT_ASSERT_EQUAL(2U, limit());
        const auto second = grantIn(requestPermit(2, 0));
        release(2, second->permit, dispatch_result::Failed, m_now);
        CPPUNIT_ASSERT_EQUAL(1U, limit());
    }

private:
    static core::upstream_name upstream() { return core::upstream_name{"assistente"}; }

    void setEngines(const std::vector<std::pair<const char *, const char *>> &engines)
    {
        m_list.clear();
        for (const auto &[name, domain] : engines)
            m_list.push_back({core::engine_name{name}, upstream(), core::domain_name{domain}, "g1",
                              "127.0.0.1:1", false});
        m_pool->setEngines(m_list, m_now);
    }

    void vote(std::size_t node)
    {
        lease_vote made;
        made.upstream = upstream();
        made.granted = true;
        if (node == 1)
            made.running = m_running;
        const auto rounds = static_cast<std::uint64_t>((m_now - m_start) / milliseconds{500});
        made.sequence = 10'001 + std::min<std::uint64_t>(rounds, 1);
        m_pool->onVote(m_nodes[node], made, m_now);
    }

    permit_request request(std::uint64_t id, core::tier tier, request_cost cost = {100, 10},
                           int deadline = 9'000) const
    {
        permit_request made;
        made.request = id;
        made.upstream = upstream();
        made.model = core::model_name{"m"};
        made.tier = tier;
        made.team = core::team_name{"campo"};
        made.cost = cost;
        made.prefixHashes = {41, 42};
        made.deadline = m_now + milliseconds{deadline};
        return made;
    }

    std::vector<outgoing> requestPermit(std::uint64_t id, core::tier tier,
                                        request_cost cost = {100, 10}, int deadline = 9'000)
    {
        return m_pool->onPermitRequest(m_nodes[0], request(id, tier, cost, deadline), m_now);
    }

    std::uint32_t coldShares() const
    {
        std::uint32_t sum = 0;
        for (const pool_snapshot::engine &engine : m_pool->snapshot(m_now).engines)
            sum += engine.share;
        return sum;
    }

    void fill(core::tier tier)
    {
        for (std::uint64_t id = 1; id <= 4; ++id)
            CPPUNIT_ASSERT(grantIn(requestPermit(id, tier)).has_value());
    }

    std::vector<outgoing> release(std::uint64_t id, core::permit_id permit, dispatch_result result,
                                  core::time_point now)
    {
        // The first token comes as estimated; a dispatch without one would count as slow.
        return m_pool->onRelease(m_nodes[0],
                                 {id, permit, upstream(), result, {}, milliseconds{10}, true}, now);
    }

    std::size_t running() const
    {
        std::size_t sum = 0;
        for (const std::size_t count : m_pool->snapshot(m_now).running)
            sum += count;
        return sum;
    }

    static std::optional<permit_grant> grantIn(const std::vector<outgoing> &sent)
    {
        for (const outgoing &item : sent) {
            if (const auto *grant = std::get_if<permit_grant>(&item.message))
                return *grant;
        }
        return std::nullopt;
    }

    static std::optional<refusal_reason> refusalIn(const std::vector<outgoing> &sent)
    {
        for (const outgoing &item : sent) {
            if (const auto *refusal = std::get_if<permit_refusal>(&item.message))
                return refusal->reason;
        }
        return std::nullopt;
    }

    const core::time_point m_start{milliseconds{10'000}};
    core::time_point m_now = m_start;
    std::array<core::node_identity, 2> m_nodes{
        {{core::node_name{"entry-0"}, 1}, {core::node_name{"entry-1"}, 2}}};
    sheet::sheet m_sheet;
    std::vector<sheet::engine_info> m_list;
    std::vector<running_dispatch> m_running;
    std::optional<pool_scheduler> m_pool;
};

CPPUNIT_TEST_SUITE_REGISTRATION(pool_scheduler_test);
