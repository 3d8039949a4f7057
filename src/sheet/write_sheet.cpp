#include "sheet/write_sheet.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <string>
#include <utility>

namespace comfreypass::sheet {

namespace {

template<class Names>
boost::json::array writeNames(const Names &names)
{
    boost::json::array array;
    for (const auto &name : names)
        array.emplace_back(name.text());
    return array;
}

const char *word(order_check check)
{
    return check == order_check::Refuses ? "refuses" : "ignores";
}

boost::json::object writeUpstream(const upstream_facts &facts)
{
    boost::json::object entry;
    entry["owner"] = facts.owner.text();
    entry["shared_with"] = writeNames(facts.sharedWith);
    if (facts.kind == upstream_kind::Model) {
        entry["kind"] = "model";
        entry["models"] = writeNames(facts.models);
    } else {
        entry["kind"] = "service";
        boost::json::array operations;
        for (const operation_facts &operation : facts.operations) {
            operations.push_back({{"method", operation.method},
                                  {"path", operation.path},
                                  {"idempotent", operation.idempotent}});
        }
        entry["operations"] = std::move(operations);
        entry["service_slots"] = facts.serviceSlots;
    }
    entry["fencing"] = word(facts.fencing);
    entry["sender_check"] = word(facts.sender);
    entry["cold_slots"] = facts.coldSlots;
    return entry;
}

boost::json::object writeTeam(const team_facts &facts)
{
    boost::json::object tiers;
    for (core::tier tier = 0; tier < core::tierCount; ++tier) {
        if (const auto &limit = facts.tiers.at(tier))
            tiers[std::to_string(tier)] = {{"in_flight", limit->inFlight}};
    }
    boost::json::object entry;
    entry["half"] = facts.half.text();
    entry["weight"] = facts.weight;
    entry["tiers"] = std::move(tiers);
    entry["token_sha256"] = facts.tokenSha256;
    return entry;
}

boost::json::object writePolicy(const policy_facts &policy)
{
    const bool refuses = policy.whenUnconfirmed == policy_facts::unconfirmed::Refuse;
    boost::json::object entry;
    entry["unconfirmed"] = refuses ? "refuse" : "serve";
    entry["small_request_tokens"] = policy.smallRequestTokens;
    entry["default_deadline_ms"] = policy.defaultDeadline.count();
    entry["first_token_target_ms"] = policy.firstTokenTarget.count();
    entry["token_gap_target_ms"] = policy.tokenGapTarget.count();
    return entry;
}

} // namespace

boost::json::value writeSheet(const sheet &value)
{
    boost::json::object domains;
    for (const auto &[name, facts] : value.domains) {
        domains[name.text()]
            = {{"region", facts.region}, {"state", facts.inService ? "in" : "out"}};
    }
    boost::json::object generations;
    for (const auto &[name, facts] : value.generations) {
        generations[name] = {{"prefill_tokens_per_second", facts.prefillTokensPerSecond},
                             {"decode_tokens_per_second", facts.decodeTokensPerSecond},
                             {"slots", facts.slots}};
    }
    boost::json::object upstreams;
    for (const auto &[name, facts] : value.upstreams)
        upstreams[name.text()] = writeUpstream(facts);
    boost::json::object teams;
    for (const auto &[name, facts] : value.teams)
        teams[name.text()] = writeTeam(facts);

    boost::json::object document;
    document["revision"] = value.revision;
    document["fleet"] = {{"entry_nodes", value.entryNodes}};
    document["halves"] = writeNames(value.halves);
    document["failure_domains"] = std::move(domains);
    document["generations"] = std::move(generations);
    document["upstreams"] = std::move(upstreams);
    document["teams"] = std::move(teams);
    document["policy"] = writePolicy(value.policy);
    return document;
}

} // namespace comfreypass::sheet
