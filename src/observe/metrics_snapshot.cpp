#include "observe/metrics_snapshot.h"

#include "observe/metric_info.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <optional>
#include <system_error>
#include <utility>

namespace comfreypass::observe {

namespace {

using sample = metrics_snapshot::sample;

constexpr std::array serviceLevelMetrics
    = {metric::Requests, metric::OnTimeRequests, metric::TeamRequests, metric::TeamOnTimeRequests};

bool isNeeded(std::string_view name)
{
    return std::any_of(serviceLevelMetrics.begin(), serviceLevelMetrics.end(),
                       [&](metric id) { return describe(id).name == name; });
}

/** Parses a quoted label value and removes it from the front of the text; empty if malformed. */
std::optional<std::string> parseQuoted(std::string_view &text)
{
    if (!text.starts_with('"'))
        return std::nullopt;
    std::string value;
    for (std::size_t i = 1; i < text.size(); ++i) {
        if (text[i] == '"') {
            text.remove_prefix(i + 1);
            return value;
        }
        if (text[i] == '\\' && i + 1 < text.size()) {
            ++i;
            value += text[i] == 'n' ? '\n' : text[i];
        } else {
            value += text[i];
        }
    }
    return std::nullopt;
}

/** Parses {a="1",b="2"} and removes it from the front of the text; returns false if malformed. */
bool parseLabels(std::string_view &text, sample &target)
{
    text.remove_prefix(1);
    while (!text.starts_with('}')) {
        const std::size_t equals = text.find('=');
        if (equals == std::string_view::npos)
            return false;
        std::string name(text.substr(0, equals));
        text.remove_prefix(equals + 1);
        auto value = parseQuoted(text);
        if (!value)
            return false;
        target.labels[std::move(name)] = std::move(*value);
        if (text.starts_with(','))
            text.remove_prefix(1);
        else if (!text.starts_with('}'))
            return false;
    }
    text.remove_prefix(1);
    return true;
}

std::optional<sample> parseLine(std::string_view line)
{
    sample result;
    const std::size_t nameEnd = line.find_first_of("{ ");
    if (nameEnd == 0 || nameEnd == std::string_view::npos)
        return std::nullopt;
    result.name = line.substr(0, nameEnd);
    line.remove_prefix(nameEnd);
    if (line.starts_with('{') && !parseLabels(line, result))
        return std::nullopt;
    if (!line.starts_with(' '))
        return std::nullopt;
    line.remove_prefix(1);
    // from_chars rejects the +Inf of the Prometheus format, which no counter has as its value.
    const auto [end, code] = std::from_chars(line.data(), line.data() + line.size(), result.value);
    const bool isWhole = end == line.data() + line.size();
    if (code != std::errc() || !isWhole || !std::isfinite(result.value))
        return std::nullopt;
    return result;
}

void addSample(sample &&value, metrics_snapshot &target)
{
    if (value.name == describe(metric::NodeInfo).name) {
        target.node = core::node_name(value.label("node"));
        target.incarnation = value.label("incarnation");
    } else if (value.name == describe(metric::SnapshotTime).name) {
        target.time = std::chrono::duration<double>(value.value);
    } else if (isNeeded(value.name)) {
        target.samples.push_back(std::move(value));
    }
}

} // namespace

std::string_view sample::label(std::string_view name) const
{
    const auto found = labels.find(name);
    return found == labels.end() ? std::string_view() : std::string_view(found->second);
}

core::result<metrics_snapshot> parseSnapshot(std::string_view text)
{
    if (text.size() > metrics_snapshot::maxBytes) {
        return core::error{core::errc::TooLarge,
                           {},
                           "the snapshot exceeds 16 MiB",
                           "save the response of one node per file"};
    }
    metrics_snapshot snapshot;
    std::size_t number = 0;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find('\n'), text.size());
        const std::string_view line = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        ++number;
        if (line.empty() || line.starts_with('#'))
            continue;
        auto value = parseLine(line);
        if (!value) {
            return core::error{core::errc::ParseFailed, "line " + std::to_string(number),
                               "is not a series in the Prometheus text format",
                               "save the response of GET /metrics unchanged"};
        }
        addSample(std::move(*value), snapshot);
    }
    if (snapshot.node.empty() || snapshot.time.count() <= 0) {
        return core::error{core::errc::NotFound,
                           {},
                           "the snapshot lacks its node or its time",
                           "save the complete response of GET /metrics"};
    }
    return snapshot;
}

} // namespace comfreypass::observe
