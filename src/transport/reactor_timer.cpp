#include "transport/reactor_timer.h"

#include "transport/callback_guard.h"

#include <ace/Time_Value.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace comfreypass::transport {

namespace {

ACE_Time_Value toAceTime(core::duration time)
{
    const auto positive = std::max(time, core::duration::zero());
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(positive);
    const auto remainder
        = std::chrono::duration_cast<std::chrono::microseconds>(positive - seconds);
    return ACE_Time_Value(static_cast<time_t>(seconds.count()),
                          static_cast<suseconds_t>(remainder.count()));
}

} // namespace

reactor_timer::reactor_timer(ACE_Reactor &reactor, std::function<void()> onExpired)
    : m_reactor(reactor), m_onExpired(std::make_shared<std::function<void()>>(std::move(onExpired)))
{ }

reactor_timer::~reactor_timer()
{
    stop();
}

void reactor_timer::startOnce(core::duration delay)
{
    m_repeating = false;
    schedule(delay, core::duration::zero());
}

void reactor_timer::startRepeating(core::duration interval)
{
    m_repeating = true;
    schedule(interval, interval);
}

void reactor_timer::stop() noexcept
{
    if (m_id < 0)
        return;
    m_reactor.cancel_timer(m_id);
    m_id = -1;
}

void reactor_timer::schedule(core::duration delay, core::duration interval)
{
    stop();
    m_id = m_reactor.schedule_timer(this, nullptr, toAceTime(delay), toAceTime(interval));
}

int reactor_timer::handle_timeout(const ACE_Time_Value & /*now*/, const void * /*argument*/)
{
    if (!m_repeating)
        m_id = -1;
    // The function may destroy this timer, so a copy keeps it alive until it returns.
    const auto onExpired = m_onExpired;
    guarded("timer", [&] { (*onExpired)(); });
    return 0;
}

} // namespace comfreypass::transport
