#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace comfreypass::observe {

/** All metrics of a node; the values are indexes into describeMetrics(). */
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
    GatewayFirstEventError,
    GatewayRunning,
    GatewayWaiting,
    GatewayPendingPromptTokens,
    GatewayPeers,
    GatewayEngines,
    GatewayExcludedEngines,
    GatewayQuarantined,
    GatewaySuspectedCrashes,
    GatewayConnections,
    GatewayCallerMemory,
    GatewayCallerMemoryRefusals,
    GatewayConfigurationVersion,
    GatewaySlotsYielded,
    GatewaySlotsReclaimed,
    GatewayRecordCalls,
    GatewayLogLinesLeftOut,
    GatewayCallerAge,
    GatewayRetryAfter,
};

enum class metric_type : std::uint8_t { Counter, Gauge, Histogram };

/** Returns the name of a metric type in the Prometheus text format. Thread-safe. */
std::string_view toString(metric_type type) noexcept;

/** Name, type, unit, labels and help text of a metric. */
struct metric_info
{
    static constexpr std::size_t maxLabels = 4;

    metric id = metric::Requests;
    std::string_view name;
    metric_type type = metric_type::Counter;
    std::string_view unit;
    /** Label names; unused entries are empty. */
    std::array<std::string_view, maxLabels> labels;
    std::string_view help;

    std::size_t labelCount() const noexcept;
};

/** Returns the descriptions of all metrics in the order of `metric`. Thread-safe. */
std::span<const metric_info> describeMetrics() noexcept;

/** Returns the description of one metric. Thread-safe. */
const metric_info &describe(metric id) noexcept;

} // namespace comfreypass::observe
