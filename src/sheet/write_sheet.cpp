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

const char *keyword(fencing_check check)
{
    return check == fencing_check::Refuses ? "refuses" : "ignores";
}

boost::json::object writeUpstream(const upstream_spec &spec)
{
    boost::json::object entry;
    entry["owner"] = spec.owner.text();
    entry["shared_with"] = writeNames(spec.sharedWith);
    if (spec.kind == upstream_kind::Model) {
        entry["kind"] = "model";
        entry["models"] = writeNames(spec.models);
    } else {
        entry["kind"] = "service";
        boost::json::array operations;
        for (const operation_spec &operation : spec.operations) {
            operations.push_back({{"method", operation.method},
                                  {"path", operation.path},
                                  {"idempotent", operation.idempotent}});
        }
        entry["operations"] = std::move(operations);
        entry["service_slots"] = spec.serviceSlots;
    }
    entry["fencing"] = keyword(spec.fencing);
    entry["sender_check"] = keyword(spec.sender);
    entry["cold_slots"] = spec.coldSlots;
    return entry;
}

boost::json::object writeTeam(const team_spec &spec)
{
    boost::json::object tiers;
    for (core::tier tier = 0; tier < core::tierCount; ++tier) {
        if (const auto &limit = spec.tiers.at(tier))
            tiers[std::to_string(tier)] = {{"in_flight", limit->inFlight}};
    }
    boost::json::object entry;
    entry["half"] = spec.half.text();
    entry["weight"] = spec.weight;
    entry["tiers"] = std::move(tiers);
    entry["token_sha256"] = spec.tokenSha256;
    return entry;
}

boost::json::object writePolicy(const policy_spec &policy)
{
    const bool refuses = policy.unconfirmedAction == policy_spec::unconfirmed_action::Refuse;
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
    for (const auto &[name, spec] : value.domains) {
        domains[name.text()] = {{"region", spec.region}, {"state", spec.inService ? "in" : "out"}};
    }
    boost::json::object generations;
    for (const auto &[name, spec] : value.generations) {
        generations[name] = {{"prefill_tokens_per_second", spec.prefillTokensPerSecond},
                             {"decode_tokens_per_second", spec.decodeTokensPerSecond},
                             {"slots", spec.slots}};
    }
    boost::json::object upstreams;
    for (const auto &[name, spec] : value.upstreams)
        upstreams[name.text()] = writeUpstream(spec);
    boost::json::object teams;
    for (const auto &[name, spec] : value.teams)
        teams[name.text()] = writeTeam(spec);

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
