#include "transport/epoll_reactor.h"
#include "transport/reactor_timer.h"
#include "transport/socket_watch.h"

#include <cppunit/extensions/HelperMacros.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <deque>
#include <numeric>
#include <thread>
#include <vector>

using namespace comfreypass;
using namespace std::chrono_literals;

namespace {

/** Counts the bytes that arrive at one of two connected sockets. */
class watched_input
{
public:
    watched_input(ACE_Reactor &reactor, bool consumes, std::chrono::milliseconds work = 0ms)
        : m_consumes(consumes), m_work(work), m_ends(connectedPair()),
          m_watch(reactor, m_ends[0], [this](ACE_Reactor_Mask) { onReady(); })
    {
        m_watch.watchFor(ACE_Event_Handler::READ_MASK);
    }

    ~watched_input()
    {
        ::close(m_ends[0]);
        ::close(m_ends[1]);
    }
    watched_input(const watched_input &) = delete;
    watched_input &operator=(const watched_input &) = delete;

    void arrive() { CPPUNIT_ASSERT_EQUAL(ssize_t{1}, ::write(m_ends[1], "x", 1)); }
    int events() const { return m_events; }

private:
    static std::array<int, 2> connectedPair()
    {
        std::array<int, 2> ends{};
        CPPUNIT_ASSERT_EQUAL(0, ::socketpair(AF_UNIX, SOCK_STREAM, 0, ends.data()));
        return ends;
    }

    void onReady()
    {
        ++m_events;
        std::this_thread::sleep_for(m_work);
        char byte = 0;
        if (m_consumes)
            CPPUNIT_ASSERT_EQUAL(ssize_t{1}, ::read(m_ends[0], &byte, 1));
    }

    bool m_consumes;
    /** Time that the handling of one event takes. */
    std::chrono::milliseconds m_work;
    std::array<int, 2> m_ends;
    int m_events = 0;
    transport::socket_watch m_watch;
};

} // namespace

class epoll_reactor_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(epoll_reactor_test);
    CPPUNIT_TEST(blockedLoopHandlesInputBeforeDueTimers);
    CPPUNIT_TEST(inputIsHandledBetweenTimersThatBlock);
    CPPUNIT_TEST(endlessInputDoesNotStarveTimers);
    CPPUNIT_TEST(endlessInputDelaysATimerByOneRoundOfTheSockets);
    CPPUNIT_TEST(repeatingTimerExpiresWithoutInput);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against timeouts for peers whose bytes arrived while the process was busy or paused.
    void blockedLoopHandlesInputBeforeDueTimers()
    {
        std::deque<watched_input> inputs;
        for (int i = 0; i < 20; ++i)
            inputs.emplace_back(m_reactor.get(), true);
        bool expired = false;
        long handled = 0;
        transport::reactor_timer timer(m_reactor.get(), [&] {
            handled = std::ranges::count(inputs, 1, &watched_input::events);
            expired = true;
        });
        timer.startOnce(20ms);
        for (watched_input &each : inputs)
            each.arrive();
        std::this_thread::sleep_for(100ms);
        m_reactor.runUntil([&] { return expired; });
        CPPUNIT_ASSERT_EQUAL(20L, handled);
    }

    // Guards against timeouts for peers whose bytes arrived during another timer's work.
    void inputIsHandledBetweenTimersThatBlock()
    {
        watched_input input(m_reactor.get(), true);
        transport::reactor_timer blocking(m_reactor.get(), [&] {
            input.arrive();
            std::this_thread::sleep_for(100ms);
        });
        int events = 0;
        bool expired = false;
        transport::reactor_timer timer(m_reactor.get(), [&] {
            events = input.events();
            expired = true;
        });
        blocking.startOnce(5ms);
        timer.startOnce(10ms);
        std::this_thread::sleep_for(20ms);
        m_reactor.runUntil([&] { return expired; });
        CPPUNIT_ASSERT_EQUAL(1, events);
    }

    // Guards against timers that never expire at a process that cannot keep up with its input.
    void endlessInputDoesNotStarveTimers()
    {
        watched_input input(m_reactor.get(), false);
        input.arrive();
        int expired = 0;
        transport::reactor_timer timer(m_reactor.get(), [&] { ++expired; });
        timer.startRepeating(5ms);
        const auto limit = std::chrono::steady_clock::now() + 30s;
        m_reactor.runUntil(
            [&] { return expired >= 10 || std::chrono::steady_clock::now() > limit; });
        CPPUNIT_ASSERT(expired >= 10);
        CPPUNIT_ASSERT(input.events() > 0);
    }

    // Guards against deadlines that a saturated process handles long after their time.
    void endlessInputDelaysATimerByOneRoundOfTheSockets()
    {
        constexpr int sockets = 40;
        constexpr int eventsUntilDue = 20;
        constexpr int eventsOfMaxDelay = 50;
        std::deque<watched_input> inputs;
        for (int i = 0; i < sockets; ++i)
            inputs.emplace_back(m_reactor.get(), false, 1ms).arrive();
        std::vector<int> handled;
        transport::reactor_timer timer(m_reactor.get(), [&] {
            handled.clear();
            for (const watched_input &each : inputs)
                handled.push_back(each.events());
        });
        timer.startOnce(std::chrono::milliseconds(eventsUntilDue));
        m_reactor.runUntil([&] { return !handled.empty(); });
        const int total = std::accumulate(handled.begin(), handled.end(), 0);
        CPPUNIT_ASSERT(std::ranges::min(handled) > 0);
        // A pause of the process repeats the round once.
        CPPUNIT_ASSERT_LESSEQUAL(eventsUntilDue + eventsOfMaxDelay + 2 * sockets + 2, total);
    }

    // Guards against timers that wait for input although none arrives.
    void repeatingTimerExpiresWithoutInput()
    {
        int expired = 0;
        transport::reactor_timer timer(m_reactor.get(), [&] { ++expired; });
        timer.startRepeating(3ms);
        const auto limit = std::chrono::steady_clock::now() + 30s;
        m_reactor.runUntil(
            [&] { return expired >= 5 || std::chrono::steady_clock::now() > limit; });
        CPPUNIT_ASSERT(expired >= 5);
    }

private:
    transport::epoll_reactor m_reactor;
};

CPPUNIT_TEST_SUITE_REGISTRATION(epoll_reactor_test);
