#include "observe/latency_histogram.h"

#include "observe/prometheus_text.h"

#include <algorithm>
#include <cmath>
#include <ostream>
#include <type_traits>
#include <vector>

namespace comfreypass::observe {

namespace {

constexpr std::string_view otherUpstreamsName = "other";

std::vector<double> binEdges(std::span<const double> upperBounds)
{
    std::vector<double> edges = {0};
    edges.insert(edges.end(), upperBounds.begin(), upperBounds.end());
    return edges;
}

} // namespace

latency_histogram::latency_histogram(std::span<const double> upperBounds)
    : m_counts(std::make_tuple(tier_axis(0, static_cast<int>(core::tierCount)), upstream_axis(),
                               time_axis(binEdges(upperBounds)))),
      m_sums(std::make_tuple(tier_axis(0, static_cast<int>(core::tierCount)), upstream_axis()))
{ }

bool latency_histogram::record(core::tier tier, std::string_view upstream, seconds value)
{
    std::string name(upstream);
    const auto &axis = m_counts.axis(std::integral_constant<unsigned, 1>{});
    const bool isNew = axis.index(name) == axis.size();
    const bool isOverflow = isNew && static_cast<std::size_t>(axis.size()) >= maxUpstreams;
    if (isOverflow)
        name = otherUpstreamsName;
    const double time = std::max(value.count(), 0.0);
    // Prometheus buckets include their upper bound, Boost.Histogram bins exclude it.
    m_counts(static_cast<int>(tier), name, std::nextafter(time, 0.0));
    m_sums(static_cast<int>(tier), name, boost::histogram::weight(time));
    return !isOverflow;
}

std::uint64_t latency_histogram::count(core::tier tier, std::string_view upstream) const
{
    const auto &upstreams = m_counts.axis(std::integral_constant<unsigned, 1>{});
    const int index = upstreams.index(std::string(upstream));
    if (index == upstreams.size())
        return 0;
    std::uint64_t sum = 0;
    const auto &times = m_counts.axis(std::integral_constant<unsigned, 2>{});
    for (int bin = 0; bin <= times.size(); ++bin)
        sum += m_counts.at(static_cast<int>(tier), index, bin);
    return sum;
}

void latency_histogram::writeText(std::ostream &out, std::string_view name) const
{
    const auto &upstreams = m_counts.axis(std::integral_constant<unsigned, 1>{});
    for (int tier = 0; tier < static_cast<int>(core::tierCount); ++tier) {
        for (int upstream = 0; upstream < upstreams.size(); ++upstream)
            writeSeries(out, name, tier, upstream);
    }
}

void latency_histogram::writeSeries(std::ostream &out, std::string_view name, int tier,
                                    int upstream) const
{
    const auto &upstreams = m_counts.axis(std::integral_constant<unsigned, 1>{});
    const auto &times = m_counts.axis(std::integral_constant<unsigned, 2>{});
    const std::string labels = "tier=\"" + std::to_string(tier) + "\",upstream=\""
                               + escapeLabel(upstreams.bin(upstream)) + "\"";
    std::uint64_t total = 0;
    std::string lines;
    for (int bin = 0; bin <= times.size(); ++bin) {
        total += m_counts.at(tier, upstream, bin);
        const bool isLast = bin == times.size();
        lines += std::string(name) + "_bucket{" + labels + ",le=\""
                 + (isLast ? "+Inf" : formatNumber(times.bin(bin).upper())) + "\"} "
                 + std::to_string(total) + "\n";
    }
    if (total == 0)
        return;
    out << lines << name << "_sum{" << labels << "} " << formatNumber(m_sums.at(tier, upstream))
        << '\n'
        << name << "_count{" << labels << "} " << total << '\n';
}

} // namespace comfreypass::observe
