#include "dispatch/retry_budget.h"

namespace comfreypass::dispatch {

namespace {

/**
 * Fraction of the operator limits that is spent. Windows slide, so under decreasing load the
 * requests that earned a retry may have left the window before the retry is made.
 */
constexpr double spentFraction = 0.5;

} // namespace

retry_budget::retry_budget(const retry_limits &limits) : m_limits(limits) { }

void retry_budget::onRequest(std::string_view upstream, core::time_point now)
{
    history &past = m_upstreams[std::string(upstream)];
    dropExpired(past.requests, now);
    past.requests.push_back(now);
}

bool retry_budget::mayRetry(std::string_view upstream, const fleet_share &share,
                            core::time_point now)
{
    history &past = m_upstreams[std::string(upstream)];
    dropExpired(past.requests, now);
    dropExpired(past.retries, now);
    const double earned = m_limits.ratio * static_cast<double>(past.requests.size());
    const double extra = m_limits.extra / static_cast<double>(share.known);
    return static_cast<double>(past.retries.size()) + 1 <= spentFraction * (earned + extra);
}

bool retry_budget::tryRetry(std::string_view upstream, const fleet_share &share,
                            core::time_point now)
{
    if (!mayRetry(upstream, share, now))
        return false;
    m_upstreams[std::string(upstream)].retries.push_back(now);
    return true;
}

void retry_budget::dropExpired(std::deque<core::time_point> &times, core::time_point now) const
{
    while (!times.empty() && now - times.front() > m_limits.window)
        times.pop_front();
}

} // namespace comfreypass::dispatch
