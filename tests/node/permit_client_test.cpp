#include "node/permit_client.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

using namespace comfreypass;
using namespace std::chrono_literals;

namespace {

class recording_sender : public node::message_sender
{
public:
    void send(const core::node_name &to, wire::peer_message message) override
    {
        sent.emplace_back(to, std::move(message));
    }

    template<class Message>
    std::vector<Message> all() const
    {
        std::vector<Message> found;
        for (const auto &[to, message] : sent) {
            if (const auto *match = std::get_if<Message>(&message))
                found.push_back(*match);
        }
        return found;
    }

    std::vector<std::pair<core::node_name, wire::peer_message>> sent;
};

class recording_events : public node::permit_events
{
public:
    void onPermit(const scheduling::permit_grant &) override { ++permits; }
    void onPermitRefused(const scheduling::permit_refusal &refusal) override
    {
        reasons.push_back(refusal.reason);
    }
    void onPreempted() override { ++preemptions; }

    int permits = 0;
    int preemptions = 0;
    std::vector<scheduling::refusal_reason> reasons;
};

} // namespace

class permit_client_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(permit_client_test);
    CPPUNIT_TEST(sendsRequestsToTheLeaseHolder);
    CPPUNIT_TEST(retriesUntilAReplyArrives);
    CPPUNIT_TEST(permitIsInvalidAfterTheLeaseExpires);
    CPPUNIT_TEST(permitForACancelledRequestIsReturned);
    CPPUNIT_TEST(permitIsUsedOnce);
    CPPUNIT_TEST(expiredRequestIsRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_sender = std::make_unique<recording_sender>();
        m_events = std::make_shared<recording_events>();
        m_client = std::make_unique<node::permit_client>(*m_sender, core::time_point{},
                                                         scheduling::defaultLease);
        m_now = core::time_point{10s};
        m_sequence = 100;
    }

    // Guards against a permit request to a node that does not hold this node's lease grant.
    void sendsRequestsToTheLeaseHolder()
    {
        sendRequest(1);
        CPPUNIT_ASSERT(m_sender->all<scheduling::permit_request>().empty());
        poll();
        m_client->tick(m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_sender->all<scheduling::permit_request>().size());
        CPPUNIT_ASSERT(m_client->schedulerOf(m_upstream, m_now) == m_scheduler);
    }

    // Guards against a request that waits forever after a message was lost.
    void retriesUntilAReplyArrives()
    {
        poll();
        sendRequest(1);
        m_client->tick(m_now + 100ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_sender->all<scheduling::permit_request>().size());
        m_client->tick(m_now + 260ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_sender->all<scheduling::permit_request>().size());
    }

    // Guards against a process that resumes after a pause and dispatches under an expired lease
    // grant.
    void permitIsInvalidAfterTheLeaseExpires()
    {
        poll();
        sendRequest(1);
        grant(1, 7);
        CPPUNIT_ASSERT_EQUAL(1, m_events->permits);
        CPPUNIT_ASSERT(!m_client->startDispatch(1, m_now + 10s));
    }

    // Guards against a slot that stays occupied after the caller has disconnected.
    void permitForACancelledRequestIsReturned()
    {
        poll();
        sendRequest(1);
        m_client->cancel(1, m_now);
        grant(1, 7);
        CPPUNIT_ASSERT_EQUAL(0, m_events->permits);
        const auto releases = m_sender->all<scheduling::permit_release>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, releases.size());
        CPPUNIT_ASSERT_EQUAL(core::permit_id{0}, releases[0].permit);
        CPPUNIT_ASSERT_EQUAL(core::permit_id{7}, releases[1].permit);
        CPPUNIT_ASSERT(releases[1].result == scheduling::dispatch_result::NotDispatched);
    }

    // Guards against two dispatches under one permit, including after a duplicate grant.
    void permitIsUsedOnce()
    {
        poll();
        sendRequest(1);
        grant(1, 7);
        grant(1, 7);
        CPPUNIT_ASSERT_EQUAL(1, m_events->permits);
        CPPUNIT_ASSERT(m_client->startDispatch(1, m_now));
        CPPUNIT_ASSERT(!m_client->startDispatch(1, m_now));
        CPPUNIT_ASSERT(m_sender->all<scheduling::permit_release>().empty());
    }

    // Guards against a request that stays in the table after its deadline.
    void expiredRequestIsRefused()
    {
        sendRequest(1);
        m_client->tick(m_now + 6s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_events->reasons.size());
        CPPUNIT_ASSERT(m_events->reasons.front() == scheduling::refusal_reason::LeaseLost);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_client->pending());
    }

private:
    void poll()
    {
        m_client->onPoll(m_scheduler, {m_upstream, ++m_sequence, scheduling::defaultLease, {}},
                         m_now);
    }

    void sendRequest(core::request_id id)
    {
        scheduling::permit_request request;
        request.request = id;
        request.upstream = m_upstream;
        request.deadline = m_now + 5s;
        CPPUNIT_ASSERT(m_client->request(request, m_events, m_now));
    }

    void grant(core::request_id id, core::permit_id permit)
    {
        scheduling::permit_grant granted;
        granted.request = id;
        granted.permit = permit;
        granted.upstream = m_upstream;
        granted.engine = core::engine_name("e");
        granted.leaseSequence = m_sequence;
        granted.validFor = 1s;
        m_client->onGrant(m_scheduler, granted, m_now);
    }

    core::upstream_name m_upstream{"u"};
    core::node_identity m_scheduler{core::node_name("scheduler"), 5};
    std::unique_ptr<recording_sender> m_sender;
    std::shared_ptr<recording_events> m_events;
    std::unique_ptr<node::permit_client> m_client;
    core::time_point m_now;
    std::uint64_t m_sequence = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(permit_client_test);
