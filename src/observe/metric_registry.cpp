#include "observe/metric_registry.h"

#include "core/invariant.h"
#include "observe/prometheus_text.h"

#include <algorithm>
#include <array>
#include <ostream>
#include <span>

namespace comfreypass::observe {

namespace {

/** Separates joined label values; cannot occur in a validated name. */
constexpr char separator = '\x1f';

// Upper bounds in seconds. They include the first-token targets of the example sheets (1.2 s and
// 1.6 s), so that the fraction of requests within a target is exact.
constexpr std::array firstTokenBounds
    = {0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.6, 2.4, 4.0, 8.0, 16.0, 30.0};
constexpr std::array requestBounds
    = {0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 20.0, 30.0, 60.0, 120.0};
constexpr std::array queueBounds
    = {0.001, 0.005, 0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0};

void joinLabels(std::initializer_list<std::string_view> labels, std::string &target)
{
    target.clear();
    for (const std::string_view label : labels) {
        target += label;
        target += separator;
    }
}

std::string otherLabels(std::size_t count)
{
    std::string key;
    for (std::size_t i = 0; i < count; ++i)
        key += std::string("other") + separator;
    return key;
}

/** Formats joined label values as {a="1",b="2"}; empty for a metric without labels. */
std::string formatLabels(const metric_info &info, std::string_view key)
{
    std::string text;
    for (std::size_t i = 0; i < info.labelCount(); ++i) {
        const std::size_t end = key.find(separator);
        text += text.empty() ? "{" : ",";
        text += std::string(info.labels.at(i)) + "=\"" + escapeLabel(key.substr(0, end)) + "\"";
        key.remove_prefix(end + 1);
    }
    return text.empty() ? text : text + "}";
}

} // namespace

metric_registry::metric_registry(const core::node_identity &node)
    : m_series(describeMetrics().size())
{
    m_histograms.emplace(metric::FirstToken, latency_histogram(firstTokenBounds));
    m_histograms.emplace(metric::RequestTime, latency_histogram(requestBounds));
    m_histograms.emplace(metric::GatewayFirstByte, latency_histogram(firstTokenBounds));
    m_histograms.emplace(metric::GatewayCallerAge, latency_histogram(requestBounds));
    m_histograms.emplace(metric::GatewayRetryAfter, latency_histogram(firstTokenBounds));
    m_histograms.emplace(metric::GatewayFirstEventError, latency_histogram(queueBounds));
    m_histograms.emplace(metric::QueueTime, latency_histogram(queueBounds));
    set(metric::NodeInfo, {node.name.text(), std::to_string(node.incarnation)}, 1);
}

void metric_registry::add(metric id, label_values labels, double amount)
{
    series(id, labels) += amount;
}

void metric_registry::set(metric id, label_values labels, double value)
{
    series(id, labels) = value;
}

void metric_registry::clear(metric id)
{
    m_series.at(static_cast<std::size_t>(id)).clear();
}

void metric_registry::record(metric id, core::tier tier, std::string_view upstream,
                             latency_histogram::seconds value)
{
    const auto found = m_histograms.find(id);
    COMFREYPASS_INVARIANT(found != m_histograms.end());
    if (!found->second.record(tier, upstream, value))
        add(metric::LostSeries, {describe(id).name});
}

double metric_registry::value(metric id, label_values labels) const
{
    std::string key;
    joinLabels(labels, key);
    const series_map &map = m_series.at(static_cast<std::size_t>(id));
    const auto found = map.find(key);
    return found == map.end() ? 0 : found->second;
}

std::size_t metric_registry::seriesCount() const noexcept
{
    std::size_t count = 0;
    for (const series_map &map : m_series)
        count += map.size();
    return count;
}

void metric_registry::writeText(std::ostream &out, std::chrono::system_clock::time_point now) const
{
    for (const metric_info &info : describeMetrics()) {
        out << "# HELP " << info.name << ' ' << info.help << '\n'
            << "# TYPE " << info.name << ' ' << toString(info.type) << '\n';
        if (info.id == metric::SnapshotTime) {
            const std::chrono::duration<double> time = now.time_since_epoch();
            out << info.name << ' ' << formatNumber(time.count()) << '\n';
        } else if (info.type == metric_type::Histogram) {
            m_histograms.at(info.id).writeText(out, info.name);
        } else {
            writeSeries(out, info);
        }
    }
}

double &metric_registry::series(metric id, label_values labels)
{
    const metric_info &info = describe(id);
    COMFREYPASS_INVARIANT(labels.size() == info.labelCount());
    joinLabels(labels, m_keyBuffer);
    series_map &map = m_series.at(static_cast<std::size_t>(id));
    const auto found = map.find(m_keyBuffer);
    if (found != map.end())
        return found->second;
    if (map.size() < maxSeries)
        return map.emplace(m_keyBuffer, 0).first->second;
    add(metric::LostSeries, {info.name});
    return map[otherLabels(labels.size())];
}

void metric_registry::writeSeries(std::ostream &out, const metric_info &info) const
{
    const series_map &map = m_series.at(static_cast<std::size_t>(info.id));
    std::vector<const series_map::value_type *> sorted;
    sorted.reserve(map.size());
    for (const auto &entry : map)
        sorted.push_back(&entry);
    std::sort(sorted.begin(), sorted.end(),
              [](const auto *a, const auto *b) { return a->first < b->first; });
    for (const auto *entry : sorted) {
        out << info.name << formatLabels(info, entry->first) << ' ' << formatNumber(entry->second)
            << '\n';
    }
}

} // namespace comfreypass::observe
