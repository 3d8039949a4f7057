#pragma once

#include "core/time_point.h"
#include "dispatch/fleet_share.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

namespace comfreypass::dispatch {

/** Operator limits on retries to one upstream, summed over all nodes. */
struct retry_limits
{
    /** Retries per first request in a window. */
    double ratio = 0.1;
    /** Additional retries in a window, for the whole fleet. */
    double extra = 10;
    core::duration window = std::chrono::seconds(10);
};

/**
 * Retry budget per upstream. Each node spends a fraction of the retries that its own requests earn,
 * and its share of the extra ones, so the sum over all nodes stays within the limits without
 * messages between nodes. Not thread-safe.
 */
class retry_budget
{
public:
    explicit retry_budget(const retry_limits &limits);

    /** Counts a request of a caller for an upstream. */
    void onRequest(std::string_view upstream, core::time_point now);

    /** Returns true if the budget allows a retry now. */
    bool mayRetry(std::string_view upstream, const fleet_share &share, core::time_point now);

    /** Spends one retry and returns true, or returns false if the budget is used up. */
    bool tryRetry(std::string_view upstream, const fleet_share &share, core::time_point now);

private:
    struct history
    {
        std::deque<core::time_point> requests;
        std::deque<core::time_point> retries;
    };

    void dropExpired(std::deque<core::time_point> &times, core::time_point now) const;

    retry_limits m_limits;
    std::unordered_map<std::string, history> m_upstreams;
};

} // namespace comfreypass::dispatch
