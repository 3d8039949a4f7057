#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace comfreypass::observe {

/** Every metric of a node; the values index the table of describeMetrics(). */
enum class metric : std::uint8_t {
    Requests,
    OnTimeRequests,
    TeamRequests,
    TeamOnTimeRequests,
    FirstToken,
    RequestTime,
    QueueTime,
    PrefillTokens,
    WastedPrefillTokens,
    ControlMessages,
    ControlBytes,
    DroppedMessages,
    LeasesHeld,
    Votes,
    SheetRevision,
    ConfirmationAge,
    Members,
    QueueLength,
    RunningDispatches,
    Connections,
    OpenSessions,
    WitnessRecords,
    ConfigurationReads,
    LostSeries,
    NodeInfo,
    SnapshotTime,
    GatewayRequests,
    GatewayAttemptFailures,
    GatewayFirstByte,
    GatewayRunning,
    GatewayWaiting,
    GatewayPeers,
    GatewayEngines,
    GatewayConnections,
    GatewayConfigurationVersion,
    GatewayRecordCalls,
    GatewayLogLinesLeftOut,
};

enum class metric_type : std::uint8_t { Counter, Gauge, Histogram };

/** Stable lower-case word, as Prometheus has it. Thread-safe. */
std::string_view toString(metric_type type) noexcept;

/** What a metric is. */
struct metric_info
{
    static constexpr std::size_t maxLabels = 4;

    metric id = metric::Requests;
    std::string_view name;
    metric_type type = metric_type::Counter;
    std::string_view unit;
    /** Names of the labels; unused places are empty. */
    std::array<std::string_view, maxLabels> labels;
    std::string_view help;

    std::size_t labelCount() const noexcept;
};

/** All metrics in the order of `metric`. Thread-safe. */
std::span<const metric_info> describeMetrics() noexcept;

/** The row of one metric. Thread-safe. */
const metric_info &describe(metric id) noexcept;

} // namespace comfreypass::observe
