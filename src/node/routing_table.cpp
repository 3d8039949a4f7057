#include "node/routing_table.h"

#include "node/token_hash.h"

#include <algorithm>
#include <string>
#include <utility>

namespace comfreypass::node {

namespace {

bool matches(const sheet::operation_spec &operation, std::string_view method, std::string_view path)
{
    if (operation.method != method)
        return false;
    std::string_view pattern = operation.path;
    if (!pattern.ends_with('*'))
        return pattern == path;
    pattern.remove_suffix(1);
    return path.starts_with(pattern);
}

} // namespace

routing_table::routing_table(std::shared_ptr<const sheet::sheet> sheet) : m_sheet(std::move(sheet))
{
    m_teamByTokenHash.reserve(m_sheet->teams.size());
    for (const auto &[name, spec] : m_sheet->teams)
        m_teamByTokenHash.emplace(spec.tokenSha256, name);
    for (const auto &[name, spec] : m_sheet->upstreams) {
        for (const core::model_name &model : spec.models)
            m_upstreamsByModel[model].push_back(name);
    }
}

std::optional<core::team_name> routing_table::authenticate(std::string_view bearerToken) const
{
    // The lookup compares hashes, so its duration reveals nothing about the token itself.
    const auto found = m_teamByTokenHash.find(tokenHash(bearerToken));
    if (found == m_teamByTokenHash.end())
        return std::nullopt;
    return found->second;
}

core::result<route> routing_table::routeModel(const core::team_name &team,
                                              std::optional<core::tier> requestedTier,
                                              const core::model_name &model) const
{
    core::result<route> routed = beginRoute(team, requestedTier);
    if (!routed)
        return routed;

    route &value = routed.value();
    const auto found = m_upstreamsByModel.find(model);
    if (found != m_upstreamsByModel.end()) {
        for (const core::upstream_name &upstream : found->second) {
            if (m_sheet->upstreams.at(upstream).isUsableBy(value.half))
                value.upstreams.push_back(upstream);
        }
    }
    if (value.upstreams.empty())
        return core::error{core::errc::NotFound, "/model",
                           "no upstream that half '" + value.half.text()
                               + "' may use serves model '" + model.text() + "'",
                           ""};
    // Upstreams owned by the half come before those that the other half shares with it.
    std::stable_partition(value.upstreams.begin(), value.upstreams.end(),
                          [&](const core::upstream_name &upstream) {
                              return m_sheet->upstreams.at(upstream).owner == value.half;
                          });
    return routed;
}

core::result<route> routing_table::routeService(const core::team_name &team,
                                                std::optional<core::tier> requestedTier,
                                                const core::upstream_name &upstream,
                                                std::string_view method,
                                                std::string_view path) const
{
    core::result<route> routed = beginRoute(team, requestedTier);
    if (!routed)
        return routed;

    route &value = routed.value();
    const auto found = m_sheet->upstreams.find(upstream);
    if (found == m_sheet->upstreams.end() || found->second.kind != sheet::upstream_kind::Service
        || !found->second.isUsableBy(value.half))
        return core::error{core::errc::NotFound, "",
                           "half '" + value.half.text() + "' may use no service named '"
                               + upstream.text() + "'",
                           ""};

    const auto &operations = found->second.operations;
    const auto operation = std::find_if(
        operations.begin(), operations.end(),
        [&](const sheet::operation_spec &spec) { return matches(spec, method, path); });
    // An operation that the sheet does not list may have side effects, so it is not idempotent.
    value.idempotent = operation != operations.end() && operation->idempotent;
    value.upstreams.push_back(upstream);
    return routed;
}

core::result<route> routing_table::beginRoute(const core::team_name &team,
                                              std::optional<core::tier> requestedTier) const
{
    const sheet::team_spec &spec = m_sheet->teams.at(team);
    const core::tier tier = requestedTier.value_or(spec.highestTier());
    if (tier >= core::tierCount || !spec.tiers.at(tier).has_value())
        return core::error{core::errc::Refused, "",
                           "team '" + team.text() + "' does not hold tier " + std::to_string(tier),
                           "ask for a tier that the sheet gives the team"};
    route value;
    value.team = team;
    value.half = spec.half;
    value.tier = tier;
    return value;
}

} // namespace comfreypass::node
