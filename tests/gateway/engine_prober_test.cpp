#include "gateway/engine_prober.h"
#include "support/listening_socket.h"
#include "support/loopback.h"

#include <cppunit/extensions/HelperMacros.h>
#include <sys/resource.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

using namespace comfreypass;
using namespace comfreypass::gateway;
using namespace comfreypass::tests;
using namespace std::chrono_literals;

class engine_prober_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(engine_prober_test);
    CPPUNIT_TEST(refusedConnectionIsReportedOnce);
    CPPUNIT_TEST(acceptedConnectionIsUsedByTheNextRequest);
    CPPUNIT_TEST(engineThatHasSentSomethingIsNotProbed);
    CPPUNIT_TEST(engineIsProbedOnceAtATime);
    CPPUNIT_TEST(engineWithoutAnAddressIsIgnored);
    CPPUNIT_TEST(lackOfDescriptorsIsNoRefusal);
    CPPUNIT_TEST(engineThatAcceptsAfterAnEndIsAlive);
    CPPUNIT_TEST(engineThatSendsLongAfterAnEndIsAlive);
    CPPUNIT_TEST(bytesOnTheWayAtTheEndProveNothing);
    CPPUNIT_TEST(engineThatRefusesAfterAnEndIsNotAlive);
    CPPUNIT_TEST(laterEndIsProbedAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { m_registry.update(m_engine, nullptr, m_now); }

    // Guards against a crashed engine that is not noticed, or is counted twice.
    void refusedConnectionIsReportedOnce()
    {
        m_listener.reset();
        m_prober.onBroken(m_engine, m_now);
        advanceUntilIdle();
        CPPUNIT_ASSERT(m_refused == std::vector<std::string>{"e1"});
    }

    // Guards against a probe that costs a running engine a connection, and against taking a
    // response on it for one to another request.
    void acceptedConnectionIsUsedByTheNextRequest()
    {
        m_prober.onBroken(m_engine, m_now);
        advanceUntilIdle();
        CPPUNIT_ASSERT(m_refused.empty());
        CPPUNIT_ASSERT(m_listener->pending());
        const raw_socket probed = m_listener->accept();
        const engine_connection connection = m_pool.acquire(address(), 1s, m_now);
        CPPUNIT_ASSERT(connection.connection->connected());
        CPPUNIT_ASSERT(!connection.isReused);
        CPPUNIT_ASSERT(!m_listener->pending());
    }

    // Guards against probes of engines that lose single responses under load.
    void engineThatHasSentSomethingIsNotProbed()
    {
        m_prober.onBroken(m_engine, m_now);
        m_registry.onBytes("e1", m_now + 1ms);
        advanceUntilIdle();
        CPPUNIT_ASSERT(m_refused.empty());
        CPPUNIT_ASSERT(!m_listener->pending());
    }

    // Guards against a probe for each of the responses that an engine breaks off at once.
    void engineIsProbedOnceAtATime()
    {
        m_listener.reset();
        for (int i = 0; i < 20; ++i)
            m_prober.onBroken(m_engine, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_prober.pendingCount());
        advanceUntilIdle();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_refused.size());
    }

    // Guards against probes without end of an engine that cannot be reached.
    void engineWithoutAnAddressIsIgnored()
    {
        m_engine.address = "nowhere";
        m_prober.onBroken(m_engine, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_prober.pendingCount());
    }

    // Guards against taking all engines for crashed while this process has no descriptor left.
    void lackOfDescriptorsIsNoRefusal()
    {
        m_prober.onBroken(m_engine, m_now);
        rlimit before{};
        ::getrlimit(RLIMIT_NOFILE, &before);
        const rlimit none{0, before.rlim_max};
        ::setrlimit(RLIMIT_NOFILE, &none);
        m_now += engine_prober::probeDelay;
        m_prober.advance(m_now);
        ::setrlimit(RLIMIT_NOFILE, &before);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_prober.pendingCount());
        CPPUNIT_ASSERT(m_refused.empty());
    }

    // Guards against complete responses without a length that never count as answers.
    void engineThatAcceptsAfterAnEndIsAlive()
    {
        const core::time_point endedAt = m_now;
        m_prober.onEnded(m_engine, m_now);
        advanceUntilIdle();
        CPPUNIT_ASSERT(m_aliveSince == std::vector<core::time_point>{endedAt});
        CPPUNIT_ASSERT(m_refused.empty());
    }

    // Guards against a connection for each of many responses without a length.
    void engineThatSendsLongAfterAnEndIsAlive()
    {
        m_prober.onEnded(m_engine, m_now);
        m_registry.onBytes("e1", m_now + engine_prober::maxBytesDelay + 1ms);
        advanceUntilIdle();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_aliveSince.size());
        CPPUNIT_ASSERT(!m_listener->pending());
    }

    // Guards against clearing a deadly request since its engine had sent something on another
    // connection right before it crashed.
    void bytesOnTheWayAtTheEndProveNothing()
    {
        m_listener.reset();
        m_prober.onEnded(m_engine, m_now);
        m_registry.onBytes("e1", m_now + 10ms);
        advanceUntilIdle();
        CPPUNIT_ASSERT(m_aliveSince.empty());
        CPPUNIT_ASSERT(m_refused == std::vector<std::string>{"e1"});
    }

    // Guards against clearing a deadly request since its engine ended the response in order.
    void engineThatRefusesAfterAnEndIsNotAlive()
    {
        m_listener.reset();
        m_prober.onEnded(m_engine, m_now);
        advanceUntilIdle();
        CPPUNIT_ASSERT(m_aliveSince.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_refused.size());
    }

    // Guards against a proof that is older than the end of a response.
    void laterEndIsProbedAgain()
    {
        const core::time_point first = m_now;
        m_prober.onEnded(m_engine, m_now);
        m_now += 50ms;
        const core::time_point last = m_now;
        m_prober.onEnded(m_engine, m_now);
        advanceUntilIdle();
        CPPUNIT_ASSERT((m_aliveSince == std::vector<core::time_point>{first, last}));
    }

private:
    http1::endpoint address() const { return http1::endpoint::parse(m_engine.address).value(); }

    void advanceUntilIdle()
    {
        m_loop.waitFor("end of the probe", [this] {
            m_now += 10ms;
            m_prober.advance(m_now);
            m_deleter.purge();
            return m_prober.pendingCount() == 0;
        });
    }

    loopback m_loop;
    std::unique_ptr<listening_socket> m_listener = std::make_unique<listening_socket>();
    dispatch::engine_entry m_engine{.id = "e1",
                                    .upstream = "u",
                                    .address = "127.0.0.1:" + std::to_string(m_listener->port()),
                                    .domain = "d1",
                                    .slots = 4};
    core::time_point m_now{1h};
    std::vector<std::string> m_refused;
    std::vector<core::time_point> m_aliveSince;
    http1::deferred_deleter m_deleter;
    engine_connection_pool m_pool{m_loop.reactor(), m_deleter};
    dispatch::engine_registry m_registry{"d1", 1};
    engine_prober m_prober{m_pool, m_registry,
                           [this](const dispatch::engine_entry &engine, core::time_point) {
                               m_refused.push_back(engine.id);
                           },
                           [this](const dispatch::engine_entry &, core::time_point endedAt) {
                               m_aliveSince.push_back(endedAt);
                           }};
};

CPPUNIT_TEST_SUITE_REGISTRATION(engine_prober_test);
