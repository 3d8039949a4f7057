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

/** The operators' bound on repeats to one upstream, summed over all nodes. */
struct retry_limits
{
    /** Repeats per first request in a window. */
    double ratio = 0.1;
    /** Repeats in a window in addition, for the whole fleet. */
    double extra = 10;
    core::duration window = std::chrono::seconds(10);
};

/**
 * Budget of repeats per upstream. Each node spends a part of what its own requests earn, and its
 * share of the extra; the sum over all nodes keeps the bound without an exchange.
 * Not thread-safe.
 */
class retry_budget
{
public:
    explicit retry_budget(const retry_limits &limits);

    /** Counts a request of a caller for an upstream. */
    void onRequest(std::string_view upstream, core::time_point now);

    /** Takes one repeat if the budget allows it. */
    bool tryRetry(std::string_view upstream, const fleet_share &share, core::time_point now);

private:
    struct history
    {
        std::deque<core::time_point> requests;
        std::deque<core::time_point> repeats;
    };

    void forget(std::deque<core::time_point> &times, core::time_point now) const;

    retry_limits m_limits;
    std::unordered_map<std::string, history> m_upstreams;
};

} // namespace comfreypass::dispatch
