#pragma once

#include "core/tier.h"

#include <boost/histogram/axis/category.hpp>
#include <boost/histogram/axis/integer.hpp>
#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <iosfwd>
#include <span>
#include <string>
#include <string_view>
#include <tuple>

namespace comfreypass::observe {

/** Histogram of durations by tier and upstream. Not thread-safe. */
class latency_histogram
{
public:
    using seconds = std::chrono::duration<double>;

    /** Upstreams beyond this limit are counted under "other". */
    static constexpr std::size_t maxUpstreams = 64;

    /** Precondition: `upperBounds`, in seconds, are positive and strictly increasing. */
    explicit latency_histogram(std::span<const double> upperBounds);

    /** Records one value; returns false if it was counted under "other". Negative values count as
     * 0. */
    bool record(core::tier tier, std::string_view upstream, seconds value);

    /** Returns the number of recorded values. */
    std::uint64_t count(core::tier tier, std::string_view upstream) const;

    /** Writes the series in the Prometheus text format; empty series are omitted. */
    void writeText(std::ostream &out, std::string_view name) const;

private:
    using tier_axis = boost::histogram::axis::integer<int, boost::histogram::use_default,
                                                      boost::histogram::axis::option::none_t>;
    using upstream_axis
        = boost::histogram::axis::category<std::string, boost::histogram::use_default,
                                           boost::histogram::axis::option::growth_t>;
    using time_axis = boost::histogram::axis::variable<double, boost::histogram::use_default,
                                                       boost::histogram::axis::option::overflow_t>;
    using bucket_counts
        = boost::histogram::histogram<std::tuple<tier_axis, upstream_axis, time_axis>,
                                      boost::histogram::dense_storage<std::uint64_t>>;
    using time_sums = boost::histogram::histogram<std::tuple<tier_axis, upstream_axis>,
                                                  boost::histogram::dense_storage<double>>;

    void writeSeries(std::ostream &out, std::string_view name, int tier, int upstream) const;

    bucket_counts m_counts;
    time_sums m_sums;
};

} // namespace comfreypass::observe
