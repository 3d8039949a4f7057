#include "node/node_metrics.h"

#include "scheduling/refusal_reason.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace comfreypass::node {

namespace {

using observe::metric;

/** Names of the message types in proto/peer.proto, in the order of wire::peer_message. */
constexpr std::array<std::string_view, transport::peer_counters::typeCount> messageTypes
    = {"ping",    "ack",     "view_sync", "sheet_request",  "sheet_patch", "sheet_chunk",
       "poll",    "vote",    "step_down", "permit_request", "grant",       "refusal",
       "release", "preempt", "claim",     "claim_reply"};

template<std::size_t index>
using message_at = std::variant_alternative_t<index, wire::peer_message>;
static_assert(std::is_same_v<message_at<0>, membership::ping>);
static_assert(std::is_same_v<message_at<6>, scheduling::lease_poll>);
static_assert(std::is_same_v<message_at<8>, scheduling::step_down>);
static_assert(std::is_same_v<message_at<12>, scheduling::permit_release>);
static_assert(std::is_same_v<message_at<15>, idempotency::claim_reply>);

std::string_view outcomeLabel(request_record::outcome result) noexcept
{
    static constexpr std::array<std::string_view, 4> names
        = {"answered", "refused", "unknown", "caller_gone"};
    return names.at(static_cast<std::size_t>(result));
}

} // namespace

node_metrics::node_metrics(observe::metric_registry &registry) : m_registry(registry) { }

void node_metrics::onRecord(const request_record &record)
{
    const std::string tier = std::to_string(record.tier);
    const std::string &upstream = record.upstream.text();
    const bool refused = record.result == request_record::outcome::NotRun;
    const bool onTime = record.result == request_record::outcome::Answered && record.inTime;
    m_registry.add(metric::Requests, {tier, upstream, outcomeLabel(record.result),
                                      refused ? std::string_view(record.reason) : ""});
    if (onTime)
        m_registry.add(metric::OnTimeRequests, {tier, upstream});
    m_registry.add(metric::PrefillTokens, {tier, upstream}, record.prefillTokens);
    m_registry.add(metric::WastedPrefillTokens, {tier, upstream}, record.wastedPrefillTokens);
    countTeam(record, onTime);
    recordTimes(record);
}

void node_metrics::countTeam(const request_record &record, bool onTime)
{
    // Requests above the team's own limit do not consume the error budget.
    const std::string_view ownLimit = toString(scheduling::refusal_reason::TeamLimit);
    if (record.result == request_record::outcome::NotRun && record.reason == ownLimit)
        return;
    const std::string tier = std::to_string(record.tier);
    m_registry.add(metric::TeamRequests, {tier, record.team.text(), record.half.text()});
    if (onTime)
        m_registry.add(metric::TeamOnTimeRequests, {tier, record.team.text(), record.half.text()});
}

void node_metrics::recordTimes(const request_record &record)
{
    const std::string &upstream = record.upstream.text();
    if (record.dispatched)
        m_registry.record(metric::QueueTime, record.tier, upstream, record.queued);
    if (record.firstToken != core::duration::zero())
        m_registry.record(metric::FirstToken, record.tier, upstream, record.firstToken);
    if (record.result == request_record::outcome::Answered)
        m_registry.record(metric::RequestTime, record.tier, upstream, record.total);
}

void node_metrics::refresh(const entry_node &node, core::time_point now)
{
    refreshTraffic(node.peerCounters());
    refreshSchedulers(node.schedulers(), now);
    refreshMembership(node.membership(), now);
    const auto set = [this](metric id, auto count) {
        m_registry.set(id, {}, static_cast<double>(count));
    };
    set(metric::RunningDispatches, node.permits().dispatches());
    set(metric::Connections, node.openConnections());
    set(metric::OpenSessions, node.openSessions());
    set(metric::WitnessRecords, node.claims().witnessRecords());
    set(metric::ConfigurationReads, node.configurationReads());
}

void node_metrics::refreshTraffic(const transport::peer_counters &counters)
{
    const auto setTraffic = [this](std::string_view direction, const auto &byType) {
        for (std::size_t i = 0; i < messageTypes.size(); ++i) {
            const transport::peer_counters::traffic &traffic = byType.at(i);
            m_registry.set(metric::ControlMessages, {direction, messageTypes.at(i)},
                           static_cast<double>(traffic.messages));
            m_registry.set(metric::ControlBytes, {direction, messageTypes.at(i)},
                           static_cast<double>(traffic.bytes));
        }
    };
    setTraffic("out", counters.sent);
    setTraffic("in", counters.received);

    const auto setDropped = [this](std::string_view cause, std::uint64_t count) {
        m_registry.set(metric::DroppedMessages, {cause}, static_cast<double>(count));
    };
    setDropped("malformed", counters.malformed);
    setDropped("unknown_version", counters.unknownVersion);
    setDropped("past_incarnation", counters.pastIncarnation);
    setDropped("queue_full", counters.queueFull);
    setDropped("unknown_peer", counters.unknownPeer);
    setDropped("too_large", counters.tooLarge);
    setDropped("refused_key", counters.refusedKeys);
}

void node_metrics::refreshSchedulers(const scheduler_host &schedulers, core::time_point now)
{
    m_registry.clear(metric::Votes);
    std::array<std::size_t, core::tierCount> queued{};
    const std::vector<core::upstream_name> active = schedulers.active();
    for (const core::upstream_name &upstream : active) {
        const scheduling::pool_snapshot snapshot = schedulers.find(upstream)->snapshot(now);
        m_registry.set(metric::Votes, {upstream.text()}, static_cast<double>(snapshot.votesHeld));
        for (std::size_t tier = 0; tier < queued.size(); ++tier)
            queued.at(tier) += snapshot.queued.at(tier);
    }
    m_registry.set(metric::LeasesHeld, {}, static_cast<double>(active.size()));
    for (std::size_t tier = 0; tier < queued.size(); ++tier)
        m_registry.set(metric::QueueLength, {std::to_string(tier)},
                       static_cast<double>(queued.at(tier)));
}

void node_metrics::refreshMembership(const membership::membership_agent &agent,
                                     core::time_point now)
{
    using membership::member_state;
    std::map<member_state, std::size_t> members{{member_state::Alive, 0},
                                                {member_state::Suspect, 0},
                                                {member_state::Dead, 0},
                                                {member_state::Leaving, 0}};
    for (const membership::member &member : agent.view().all(now))
        ++members[member.state];
    for (const auto &[state, count] : members)
        m_registry.set(metric::Members, {toString(state)}, static_cast<double>(count));

    // 0 would mean a fresh confirmation, so an unknown age exports no series.
    m_registry.clear(metric::ConfirmationAge);
    if (const auto age = agent.confirmationAge(now))
        m_registry.set(metric::ConfirmationAge, {}, std::chrono::duration<double>(*age).count());
    m_registry.clear(metric::SheetRevision);
    if (const auto document = agent.document())
        m_registry.set(metric::SheetRevision, {}, static_cast<double>(document->key().revision));
}

} // namespace comfreypass::node
