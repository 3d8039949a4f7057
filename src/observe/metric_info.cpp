#include "observe/metric_info.h"

#include <algorithm>

namespace comfreypass::observe {

namespace {

using enum metric_type;

constexpr std::array rows = {
    metric_info{metric::Requests,
                "comfreypass_requests_total",
                Counter,
                "requests",
                {"tier", "upstream", "outcome", "reason"},
                "Requests that ended, by outcome; reason of a refusal"},
    metric_info{metric::OnTimeRequests,
                "comfreypass_on_time_requests_total",
                Counter,
                "requests",
                {"tier", "upstream"},
                "Requests answered before their deadline (goodput), by upstream"},
    metric_info{metric::TeamRequests,
                "comfreypass_team_requests_total",
                Counter,
                "requests",
                {"tier", "team", "half"},
                "Requests of a team that ended, except those refused for a limit of the team"},
    metric_info{metric::TeamOnTimeRequests,
                "comfreypass_team_on_time_requests_total",
                Counter,
                "requests",
                {"tier", "team", "half"},
                "Requests of a team answered before their deadline (goodput)"},
    metric_info{metric::FirstToken,
                "comfreypass_first_token_seconds",
                Histogram,
                "seconds",
                {"tier", "upstream"},
                "Time from a request's arrival to the first byte of its answer"},
    metric_info{metric::RequestTime,
                "comfreypass_request_seconds",
                Histogram,
                "seconds",
                {"tier", "upstream"},
                "Time from a request's arrival to the end of its answer"},
    metric_info{metric::QueueTime,
                "comfreypass_queue_seconds",
                Histogram,
                "seconds",
                {"tier", "upstream"},
                "Time from a request's arrival to the start of its dispatch"},
    metric_info{metric::PrefillTokens,
                "comfreypass_prefill_tokens_total",
                Counter,
                "tokens",
                {"tier", "upstream"},
                "Prompt tokens sent to engines"},
    metric_info{metric::WastedPrefillTokens,
                "comfreypass_wasted_prefill_tokens_total",
                Counter,
                "tokens",
                {"tier", "upstream"},
                "Prompt tokens of requests that were cancelled, preempted or answered too late"},
    metric_info{metric::ControlMessages,
                "comfreypass_control_messages_total",
                Counter,
                "messages",
                {"direction", "type"},
                "Messages to (out) and from (in) other nodes"},
    metric_info{metric::ControlBytes,
                "comfreypass_control_bytes_total",
                Counter,
                "bytes",
                {"direction", "type"},
                "Bytes of messages to (out) and from (in) other nodes"},
    metric_info{metric::DroppedMessages,
                "comfreypass_dropped_messages_total",
                Counter,
                "messages",
                {"cause"},
                "Messages to and from other nodes that were dropped, and refused connections"},
    metric_info{metric::LeasesHeld,
                "comfreypass_leases_held",
                Gauge,
                "leases",
                {},
                "Upstreams that this node schedules"},
    metric_info{metric::Votes,
                "comfreypass_votes_held",
                Gauge,
                "votes",
                {"upstream"},
                "Votes that this node holds as the scheduler of an upstream"},
    metric_info{metric::SheetRevision,
                "comfreypass_sheet_revision",
                Gauge,
                "revision",
                {},
                "Revision of the sheet in force"},
    metric_info{metric::ConfirmationAge,
                "comfreypass_confirmation_age_seconds",
                Gauge,
                "seconds",
                {},
                "Age of the knowledge that no newer sheet exists"},
    metric_info{metric::Members,
                "comfreypass_members",
                Gauge,
                "nodes",
                {"state"},
                "Nodes in the live view, by state"},
    metric_info{metric::QueueLength,
                "comfreypass_queue_length",
                Gauge,
                "requests",
                {"tier"},
                "Requests that wait in the queues of the upstreams that this node schedules"},
    metric_info{metric::RunningDispatches,
                "comfreypass_running_dispatches",
                Gauge,
                "requests",
                {},
                "Requests of this node that run at upstreams"},
    metric_info{metric::Connections,
                "comfreypass_connections",
                Gauge,
                "connections",
                {},
                "Open connections of callers"},
    metric_info{metric::OpenSessions,
                "comfreypass_open_sessions",
                Gauge,
                "requests",
                {},
                "Requests of callers that have not ended"},
    metric_info{metric::WitnessRecords,
                "comfreypass_witness_records",
                Gauge,
                "records",
                {},
                "Claims that this node remembers as a witness"},
    metric_info{metric::ConfigurationReads,
                "comfreypass_configuration_reads_total",
                Counter,
                "reads",
                {},
                "Reads of the configuration service by this node"},
    metric_info{metric::LostSeries,
                "comfreypass_lost_series_total",
                Counter,
                "updates",
                {"metric"},
                "Updates counted under \"other\" because a metric has too many series"},
    metric_info{metric::NodeInfo,
                "comfreypass_node_info",
                Gauge,
                "1",
                {"node", "incarnation"},
                "Always 1; names the process"},
    metric_info{metric::SnapshotTime,
                "comfreypass_snapshot_time_seconds",
                Gauge,
                "seconds",
                {},
                "Wall-clock time of the export, since 1970"},
};

} // namespace

std::string_view toString(metric_type type) noexcept
{
    static constexpr std::array<std::string_view, 3> names = {"counter", "gauge", "histogram"};
    return names.at(static_cast<std::size_t>(type));
}

std::size_t metric_info::labelCount() const noexcept
{
    return static_cast<std::size_t>(std::find(labels.begin(), labels.end(), std::string_view())
                                    - labels.begin());
}

std::span<const metric_info> describeMetrics() noexcept
{
    return rows;
}

const metric_info &describe(metric id) noexcept
{
    return rows.at(static_cast<std::size_t>(id));
}

} // namespace comfreypass::observe
