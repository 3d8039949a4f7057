#pragma once

#include "core/incarnation.h"
#include "core/tier.h"
#include "observe/latency_histogram.h"
#include "observe/metric_info.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <initializer_list>
#include <iosfwd>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace comfreypass::observe {

/**
 * Counters, gauges and histograms of one node. Not thread-safe.
 *
 * The number of series per metric is limited. An update beyond the limit is counted in a series
 * with the value "other" for every label, and in comfreypass_lost_series_total.
 */
class metric_registry
{
public:
    /** Label values in the order of metric_info::labels. */
    using label_values = std::initializer_list<std::string_view>;

    /** Limit per counter or gauge; 2,700 teams with two tiers each need 5,400 series. */
    static constexpr std::size_t maxSeries = 8'192;

    explicit metric_registry(const core::node_identity &node);

    /** Adds to a counter. Precondition: one value for each label of the metric. */
    void add(metric id, label_values labels, double amount = 1);

    /** Sets a gauge, or a counter whose total is maintained elsewhere. Precondition: one value for
     * each label of the metric. */
    void set(metric id, label_values labels, double value);

    /** Removes all series of a gauge, for example before its label values are written anew. */
    void clear(metric id);

    /** Records a duration. Precondition: the metric is a histogram. */
    void record(metric id, core::tier tier, std::string_view upstream,
                latency_histogram::seconds value);

    /** Returns the current value of a counter or gauge; 0 if the series does not exist. */
    double value(metric id, label_values labels) const;

    /** Returns the number of series of all counters and gauges. */
    std::size_t seriesCount() const noexcept;

    /** Writes all metrics in the Prometheus text format; `now` is exported as snapshot time. */
    void writeText(std::ostream &out, std::chrono::system_clock::time_point now) const;

private:
    struct text_hash
    {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const noexcept
        {
            return std::hash<std::string_view>{}(text);
        }
    };
    /** Maps the joined label values to the value of the series. */
    using series_map = std::unordered_map<std::string, double, text_hash, std::equal_to<>>;

    double &series(metric id, label_values labels);
    void writeSeries(std::ostream &out, const metric_info &info) const;

    std::vector<series_map> m_series;
    std::map<metric, latency_histogram> m_histograms;
    /** Scratch buffer, so that an update of an existing series does not allocate. */
    std::string m_keyBuffer;
};

} // namespace comfreypass::observe
