#include "dispatch/retry_budget.h"

namespace comfreypass::dispatch {

namespace {

/**
 * Part of the operators' bound that is spent. Windows slide, so at a falling load the requests that
 * earned a repeat may have left the window before it is made.
 */
constexpr double spentPart = 0.5;

} // namespace

retry_budget::retry_budget(const retry_limits &limits) : m_limits(limits) { }

void retry_budget::onRequest(std::string_view upstream, core::time_point now)
{
    history &past = m_upstreams[std::string(upstream)];
    forget(past.requests, now);
    past.requests.push_back(now);
}

bool retry_budget::tryRetry(std::string_view upstream, const fleet_share &share,
                            core::time_point now)
{
    history &past = m_upstreams[std::string(upstream)];
    forget(past.requests, now);
    forget(past.repeats, now);
    const double earned = m_limits.ratio * static_cast<double>(past.requests.size());
    const double extra = m_limits.extra / static_cast<double>(share.known);
    if (static_cast<double>(past.repeats.size()) + 1 > spentPart * (earned + extra))
        return false;
    past.repeats.push_back(now);
    return true;
}

void retry_budget::forget(std::deque<core::time_point> &times, core::time_point now) const
{
    while (!times.empty() && now - times.front() > m_limits.window)
        times.pop_front();
}

} // namespace comfreypass::dispatch
