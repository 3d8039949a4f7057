#include "gateway/request_durations.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace comfreypass::gateway {

namespace {

using milliseconds = std::chrono::duration<double, std::milli>;

constexpr double bucketRatio = 1.2;

/** The weights of all recorded requests are halved whenever their sum reaches this. */
constexpr double maxTotal = 2'000;

} // namespace

void request_durations::record(std::string_view route, core::duration duration)
{
    auto found = m_routes.find(route);
    if (found == m_routes.end()) {
        if (m_routes.size() >= maxRoutes)
            return;
        found = m_routes.emplace(std::string(route), distribution()).first;
    }
    distribution &target = found->second;
    const double ratio = std::max(1.0, milliseconds(duration).count());
    const auto bucket
        = static_cast<std::size_t>(std::ceil(std::log(ratio) / std::log(bucketRatio)));
    target.counts[std::min(bucket, bucketCount - 1)] += 1;
    target.total += 1;
    if (target.total < maxTotal)
        return;
    for (double &count : target.counts)
        count /= 2;
    target.total /= 2;
}

std::optional<core::duration> request_durations::quantile(std::string_view route,
                                                          double exceeding) const
{
    const auto found = m_routes.find(route);
    if (found == m_routes.end())
        return std::nullopt;
    const distribution &source = found->second;
    std::size_t bucket = bucketCount - 1;
    double above = 0;
    while (bucket > 0 && above + source.counts[bucket] <= exceeding * source.total)
        above += source.counts[bucket--];
    return upperBound(bucket);
}

core::duration request_durations::upperBound(std::size_t bucket)
{
    return std::chrono::duration_cast<core::duration>(
        milliseconds(std::pow(bucketRatio, static_cast<double>(bucket))));
}

} // namespace comfreypass::gateway
