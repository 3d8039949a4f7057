#include "transport/epoll_reactor.h"

#include "core/invariant.h"
#include "transport/socket_watch.h"

#include <ace/Dev_Poll_Reactor.h>
#include <ace/Event_Handler_Handle_Timeout_Upcall.h>
#include <ace/Monotonic_Time_Policy.h>
#include <ace/Recursive_Thread_Mutex.h>
#include <ace/Time_Value.h>
#include <ace/Timer_Heap_T.h>
#include <ace/Timer_Queue.h>
#include <sys/eventfd.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <cstddef>

namespace comfreypass::transport {

namespace {

using monotonic_heap
    = ACE_Timer_Heap_T<ACE_Event_Handler *, ACE_Event_Handler_Handle_Timeout_Upcall,
                       ACE_SYNCH_RECURSIVE_MUTEX, ACE_Monotonic_Time_Policy>;

constexpr suseconds_t microsecondsPerMillisecond = 1'000;

/** Maximum time between two checks whether the loop of runUntil() is done. */
constexpr suseconds_t maxWaitMicroseconds = 20'000;

/**
 * Bounds on the delay of a due timer, so that endless input cannot starve it. After this time only
 * the input that is ready then is still handled. Of each event at most maxInputAge counts, since a
 * process that is paused or blocked meanwhile has more input to handle.
 */
const ACE_Time_Value maxTimerDelay(0, 50 * microsecondsPerMillisecond);
constexpr std::size_t maxEventsBeforeTimer = 500;

/** Input is looked for again once the last look was this long ago: the process may have paused. */
const ACE_Time_Value maxInputAge(0, 20 * microsecondsPerMillisecond);

/** Returns the maximum number of descriptors that the process may open. */
std::size_t descriptorLimit()
{
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
        return epoll_reactor::defaultDescriptors;
    return static_cast<std::size_t>(limit.rlim_cur);
}

} // namespace

/**
 * A timer expires only once the input that had arrived by its time has been handled. The reactor
 * itself expires timers first, so a process that was blocked or paused would take peers whose bytes
 * have arrived for silent.
 */
class epoll_reactor::timer_queue final : public monotonic_heap
{
public:
    /** All input that had arrived by then has been handled. */
    void onInputHandled(const ACE_Time_Value &time) { m_inputHandledUntil = time; }

    /** Must be called before each event. Returns true if input_mark must be triggered. */
    bool limitDelay(const ACE_Time_Value &now)
    {
        const ACE_Time_Value sinceEvent = now - m_lastEventAt;
        m_lastEventAt = now;
        const bool delayed = !is_empty() && earliest_time() <= now && !mayExpire(now);
        if (!delayed) {
            m_delay = {};
            return false;
        }
        if (++m_delay.events > 1)
            m_delay.time += std::min(sinceEvent, maxInputAge);
        m_delay.paused = m_delay.paused || sinceEvent >= maxInputAge;
        if (m_delay.events > maxEventsBeforeTimer)
            onInputHandled(now);
        if (m_delay.marked || m_delay.time < maxTimerDelay)
            return false;
        m_delay.marked = true;
        m_delay.paused = false;
        return true;
    }

    /** The events that were ready when the input was marked have been handled. */
    void onMarkReached()
    {
        if (!m_delay.marked)
            return;
        if (m_delay.paused && !m_delay.markedAgain) {
            m_delay.marked = false;
            m_delay.markedAgain = true;
            return;
        }
        onInputHandled(gettimeofday());
    }

    int expire_single(ACE_Command_Base &beforeDispatch) override
    {
        if (is_empty() || !mayExpire(gettimeofday()))
            return 0;
        return monotonic_heap::expire_single(beforeDispatch);
    }

    ACE_Time_Value *calculate_timeout(ACE_Time_Value *maxWait) override
    {
        return calculate_timeout(maxWait, &m_timeout);
    }

    /**
     * Rounds timeouts up to whole milliseconds. The reactor truncates them for epoll_wait and would
     * otherwise busy-wait during the last millisecond before each timer.
     */
    ACE_Time_Value *calculate_timeout(ACE_Time_Value *maxWait, ACE_Time_Value *result) override
    {
        const ACE_Time_Value *timeout = monotonic_heap::calculate_timeout(maxWait, result);
        if (timeout == nullptr)
            return nullptr;
        const suseconds_t remainder = timeout->usec() % microsecondsPerMillisecond;
        *result = *timeout;
        if (remainder != 0)
            *result += ACE_Time_Value(0, microsecondsPerMillisecond - remainder);
        return result;
    }

private:
    /** Precondition: there is a timer. */
    bool mayExpire(const ACE_Time_Value &now) const
    {
        return earliest_time() <= m_inputHandledUntil && now - m_inputHandledUntil < maxInputAge;
    }

    /** The delay of the earliest timer, which is due. */
    struct delay
    {
        std::size_t events = 0;
        ACE_Time_Value time;
        bool marked = false;
        bool markedAgain = false;
        /** The process may have been paused since the input was marked. */
        bool paused = false;
    };

    ACE_Time_Value m_timeout;
    ACE_Time_Value m_inputHandledUntil;
    ACE_Time_Value m_lastEventAt;
    delay m_delay;
};

/** An event that follows all that are ready when it is triggered, since epoll keeps their order. */
class epoll_reactor::input_mark
{
public:
    input_mark(ACE_Reactor &reactor, timer_queue &timers)
        : m_timers(timers), m_descriptor(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)),
          m_watch(reactor, m_descriptor, [this](ACE_Reactor_Mask) { onReady(); })
    {
        COMFREYPASS_INVARIANT(m_descriptor >= 0);
        m_watch.watchFor(ACE_Event_Handler::READ_MASK);
    }

    ~input_mark() { ::close(m_descriptor); }
    input_mark(const input_mark &) = delete;
    input_mark &operator=(const input_mark &) = delete;

    void trigger() { ::eventfd_write(m_descriptor, 1); }

private:
    void onReady()
    {
        eventfd_t count = 0;
        ::eventfd_read(m_descriptor, &count);
        m_timers.onMarkReached();
    }

    timer_queue &m_timers;
    int m_descriptor;
    socket_watch m_watch;
};

epoll_reactor::epoll_reactor(std::size_t descriptors) : m_timers(std::make_unique<timer_queue>())
{
    // ACE fails to create a reactor for more descriptors than the process may open.
    const std::size_t size = std::min(descriptors, descriptorLimit());
    auto implementation
        = std::make_unique<ACE_Dev_Poll_Reactor>(size, false, nullptr, m_timers.get());
    COMFREYPASS_INVARIANT(implementation->initialized());
    m_reactor = std::make_unique<ACE_Reactor>(implementation.release(), true);
    m_mark = std::make_unique<input_mark>(*m_reactor, *m_timers);
}

epoll_reactor::~epoll_reactor() = default;

void epoll_reactor::runUntil(const std::function<bool()> &done)
{
    while (!done()) {
        const ACE_Time_Value now = m_timers->gettimeofday();
        if (m_timers->limitDelay(now))
            m_mark->trigger();
        ACE_Time_Value maxWait(0, maxWaitMicroseconds);
        if (m_reactor->handle_events(maxWait) == 0)
            m_timers->onInputHandled(now);
    }
}

} // namespace comfreypass::transport
