#pragma once

#include "core/time_point.h"

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace comfreypass::gateway {

/**
 * Distribution of how long the requests of each route took at the engines. Old requests lose
 * weight, so that the distribution follows the traffic. Not thread-safe.
 */
class request_durations
{
public:
    /** Routes beyond this limit are not recorded. */
    static constexpr std::size_t maxRoutes = 1'024;

    /** Records one request. Negative durations count as 0. */
    void record(std::string_view route, core::duration duration);

    /**
     * Returns a duration, rounded up by less than 20 %, that at most this share of the requests
     * exceeds; nothing for a route without requests. Precondition: 0 <= `exceeding` < 1.
     */
    std::optional<core::duration> quantile(std::string_view route, double exceeding) const;

private:
    /** Exponential buckets from 1 ms to about 100 s. */
    static constexpr std::size_t bucketCount = 64;

    struct distribution
    {
        std::array<double, bucketCount> counts{};
        double total = 0;
    };

    static core::duration upperBound(std::size_t bucket);

    std::map<std::string, distribution, std::less<>> m_routes;
};

} // namespace comfreypass::gateway
