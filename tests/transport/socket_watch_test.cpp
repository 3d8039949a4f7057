#include "support/loopback.h"
#include "transport/socket_watch.h"

#include <cppunit/extensions/HelperMacros.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <memory>

using namespace comfreypass;

namespace {

/** Two connected sockets, closed by the destructor; the watched one may be closed earlier. */
class socket_pair
{
public:
    socket_pair() { CPPUNIT_ASSERT_EQUAL(0, ::socketpair(AF_UNIX, SOCK_STREAM, 0, m_ends.data())); }
    ~socket_pair()
    {
        closeWatched();
        ::close(m_ends[1]);
    }
    socket_pair(const socket_pair &) = delete;
    socket_pair &operator=(const socket_pair &) = delete;

    int watched() const { return m_ends[0]; }
    void write() { CPPUNIT_ASSERT_EQUAL(ssize_t{1}, ::write(m_ends[1], "x", 1)); }

    void closeWatched()
    {
        if (m_ends[0] >= 0)
            ::close(m_ends[0]);
        m_ends[0] = -1;
    }

private:
    std::array<int, 2> m_ends{};
};

} // namespace

class socket_watch_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(socket_watch_test);
    CPPUNIT_TEST(socketClosedBeforeItsWatchLeavesNoRegistration);
    CPPUNIT_TEST(reactorSizeIsCappedAtTheDescriptorLimit);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a crash after a failed connection: libcurl closes the socket before its watch
    // ends, and events of the next socket with the same number were delivered to a destroyed watch.
    void socketClosedBeforeItsWatchLeavesNoRegistration()
    {
        int first = 0;
        int second = 0;
        socket_pair closed;
        const int number = closed.watched();
        auto watch = std::make_unique<transport::socket_watch>(m_loop.reactor(), number,
                                                               [&](ACE_Reactor_Mask) { ++first; });
        watch->watchFor(ACE_Event_Handler::READ_MASK);
        closed.closeWatched();
        watch.reset();

        socket_pair next;
        CPPUNIT_ASSERT_EQUAL(number, next.watched());
        transport::socket_watch nextWatch(m_loop.reactor(), number,
                                          [&](ACE_Reactor_Mask) { ++second; });
        nextWatch.watchFor(ACE_Event_Handler::READ_MASK);
        next.write();
        m_loop.waitFor("event", [&] { return second > 0; });
        CPPUNIT_ASSERT_EQUAL(0, first);
    }

    // Guards against a failing start of a node where the descriptor limit is low.
    void reactorSizeIsCappedAtTheDescriptorLimit()
    {
        constexpr std::size_t excessiveDescriptors = 100'000'000;
        transport::epoll_reactor reactor(excessiveDescriptors);
        int checks = 0;
        reactor.runUntil([&] { return ++checks > 1; });
        CPPUNIT_ASSERT_EQUAL(2, checks);
    }

private:
    tests::loopback m_loop;
};

CPPUNIT_TEST_SUITE_REGISTRATION(socket_watch_test);
