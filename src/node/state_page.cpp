#include "node/state_page.h"

#include <boost/json.hpp>

#include <array>
#include <chrono>

namespace comfreypass::node {

namespace {

namespace json = boost::json;

std::int64_t milliseconds(core::duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

json::array perTier(const std::array<std::size_t, core::tierCount> &counts)
{
    json::array list;
    for (const std::size_t count : counts)
        list.emplace_back(count);
    return list;
}

json::array members(const entry_node &node, core::time_point now)
{
    json::array list;
    for (const membership::member &member : node.membership().view().all(now))
        list.push_back({{"name", member.identity.name.text()},
                        {"incarnation", member.identity.incarnation},
                        {"state", std::string(membership::toString(member.state))},
                        {"failure_domain", member.domain.text()},
                        {"caller_address", member.callerAddress},
                        {"peer_address", member.peerAddress}});
    return list;
}

json::object refusals(const scheduling::pool_snapshot &snapshot)
{
    json::object counts;
    for (std::size_t index = 0; index < snapshot.refused.size(); ++index) {
        const auto reason = static_cast<scheduling::refusal_reason>(index);
        counts[std::string(toString(reason))] = snapshot.refused.at(index);
    }
    return counts;
}

json::object upstream(const scheduling::pool_snapshot &snapshot)
{
    json::array engines;
    for (const scheduling::pool_snapshot::engine &engine : snapshot.engines)
        engines.push_back({{"name", engine.name.text()},
                           {"failure_domain", engine.domain.text()},
                           {"usable", engine.usable},
                           {"slots", engine.slots},
                           {"limit", engine.limit},
                           {"share", engine.share},
                           {"running", engine.running},
                           {"slowness", engine.latencyFactor}});
    return {{"votes_held", snapshot.votesHeld},
            {"votes_total", snapshot.votesTotal},
            {"queued_by_tier", perTier(snapshot.queued)},
            {"running_by_tier", perTier(snapshot.running)},
            {"granted", snapshot.granted},
            {"refused", refusals(snapshot)},
            {"preempted", snapshot.preempted},
            {"engines", std::move(engines)}};
}

json::object schedulers(const entry_node &node, core::time_point now)
{
    json::object list;
    for (const core::upstream_name &name : node.schedulers().active())
        list[name.text()] = upstream(node.schedulers().find(name)->snapshot(now));
    return list;
}

json::object sheetInForce(const entry_node &node, core::time_point now)
{
    const auto document = node.membership().document();
    if (!document)
        return {};
    json::object page{{"revision", document->key().revision},
                      {"service_index", document->key().serviceIndex},
                      {"digest", document->key().digest}};
    if (const auto age = node.membership().confirmationAge(now))
        page["confirmation_age_ms"] = milliseconds(*age);
    return page;
}

json::object totals(const node_totals &values)
{
    return {{"requests", values.requests},
            {"answered", values.answered},
            {"not_run", values.notRun},
            {"unknown", values.unknown},
            {"caller_gone", values.callerDisconnected},
            {"prefill_tokens", values.prefillTokens},
            {"wasted_prefill_tokens", values.wastedPrefillTokens}};
}

} // namespace

std::string_view toString(request_record::outcome result) noexcept
{
    static constexpr std::array<std::string_view, 4> names
        = {"answered", "not_run", "unknown", "caller_gone"};
    return names.at(static_cast<std::size_t>(result));
}

std::string statePage(const entry_node &node, core::time_point now)
{
    const auto readiness = node.ready();
    const json::object page{
        {"node", node.identity().name.text()},
        {"incarnation", node.identity().incarnation},
        {"ready", readiness.ready},
        {"reason", readiness.reason},
        {"draining", node.draining()},
        {"sheet", sheetInForce(node, now)},
        {"may_dispatch", node.membership().mayDispatch(now)},
        {"members", members(node, now)},
        {"schedules", schedulers(node, now)},
        {"open_sessions", node.openSessions()},
        {"open_connections", node.openConnections()},
        {"pending_permits", node.permits().pending()},
        {"dispatches", node.permits().dispatches()},
        {"witness_records", node.claims().witnessRecords()},
        {"open_claims", node.claims().openRounds()},
        {"totals", totals(node.totals())},
    };
    return json::serialize(page);
}

std::string explainPage(std::span<const request_record *const> records)
{
    json::array list;
    for (const request_record *record : records)
        list.push_back({{"team", record->team.text()},
                        {"half", record->half.text()},
                        {"tier", record->tier},
                        {"upstream", record->upstream.text()},
                        {"engine", record->engine.text()},
                        {"outcome", std::string(toString(record->result))},
                        {"reason", record->reason},
                        {"dispatched", record->dispatched},
                        {"in_time", record->inTime},
                        {"queued_ms", milliseconds(record->queued)},
                        {"first_token_ms", milliseconds(record->firstToken)},
                        {"total_ms", milliseconds(record->total)},
                        {"prefill_tokens", record->prefillTokens},
                        {"decode_tokens", record->decodeTokens}});
    return json::serialize(json::object{{"requests", std::move(list)}});
}

} // namespace comfreypass::node
