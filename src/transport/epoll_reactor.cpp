#include "transport/epoll_reactor.h"

#include "core/invariant.h"

#include <ace/Dev_Poll_Reactor.h>
#include <ace/Event_Handler_Handle_Timeout_Upcall.h>
#include <ace/Monotonic_Time_Policy.h>
#include <ace/Recursive_Thread_Mutex.h>
#include <ace/Time_Value.h>
#include <ace/Timer_Heap_T.h>
#include <ace/Timer_Queue.h>
#include <sys/resource.h>

#include <algorithm>

namespace comfreypass::transport {

namespace {

using monotonic_heap
    = ACE_Timer_Heap_T<ACE_Event_Handler *, ACE_Event_Handler_Handle_Timeout_Upcall,
                       ACE_SYNCH_RECURSIVE_MUTEX, ACE_Monotonic_Time_Policy>;

/**
 * Rounds timeouts up to whole milliseconds. The reactor truncates them for epoll_wait and would
 * otherwise busy-wait during the last millisecond before each timer.
 */
class monotonic_timers : public monotonic_heap
{
public:
    ACE_Time_Value *calculate_timeout(ACE_Time_Value *maxWait) override
    {
        return calculate_timeout(maxWait, &m_timeout);
    }

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
    static constexpr suseconds_t microsecondsPerMillisecond = 1'000;
    ACE_Time_Value m_timeout;
};

/** Returns the maximum number of descriptors that the process may open. */
std::size_t descriptorLimit()
{
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
        return epoll_reactor::defaultDescriptors;
    return static_cast<std::size_t>(limit.rlim_cur);
}

/** Maximum time between two checks whether the loop of runUntil() is done. */
constexpr suseconds_t maxWaitMicroseconds = 20'000;

} // namespace

epoll_reactor::epoll_reactor(std::size_t descriptors)
    : m_timers(std::make_unique<monotonic_timers>())
{
    // ACE fails to create a reactor for more descriptors than the process may open.
    const std::size_t size = std::min(descriptors, descriptorLimit());
    auto implementation
        = std::make_unique<ACE_Dev_Poll_Reactor>(size, false, nullptr, m_timers.get());
    COMFREYPASS_INVARIANT(implementation->initialized());
    m_reactor = std::make_unique<ACE_Reactor>(implementation.release(), true);
}

epoll_reactor::~epoll_reactor() = default;

void epoll_reactor::runUntil(const std::function<bool()> &done)
{
    while (!done()) {
        ACE_Time_Value maxWait(0, maxWaitMicroseconds);
        m_reactor->handle_events(maxWait);
    }
}

} // namespace comfreypass::transport
