#include "dispatch/routing_index.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace comfreypass::dispatch {

namespace {

std::string hostKey(std::string_view host)
{
    std::string key(host.substr(0, host.find(':')));
    std::ranges::transform(key, key.begin(),
                           [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return key;
}

} // namespace

routing_index::routing_index(configuration settings) : m_settings(std::move(settings))
{
    for (std::size_t i = 0; i < m_settings.routes.size(); ++i)
        m_routesByHost[hostKey(m_settings.routes[i].host)].push_back(i);
    for (auto &[host, positions] : m_routesByHost) {
        std::ranges::stable_sort(positions, [this](std::size_t left, std::size_t right) {
            return m_settings.routes[left].pathPrefix.size()
                   > m_settings.routes[right].pathPrefix.size();
        });
    }
    for (std::size_t i = 0; i < m_settings.teams.size(); ++i) {
        for (const std::string &key : m_settings.teams[i].keys)
            m_teamByKey.emplace(key, i);
    }
    for (std::size_t i = 0; i < m_settings.upstreams.size(); ++i)
        m_upstreamByName.emplace(m_settings.upstreams[i].name, i);
}

const route *routing_index::find(std::string_view host, std::string_view path) const
{
    const auto found = m_routesByHost.find(hostKey(host));
    if (found == m_routesByHost.end())
        return nullptr;
    for (const std::size_t position : found->second) {
        const route &candidate = m_settings.routes[position];
        if (path.starts_with(candidate.pathPrefix))
            return &candidate;
    }
    return nullptr;
}

const team *routing_index::teamOfKey(std::string_view key) const
{
    const auto found = m_teamByKey.find(key);
    return found == m_teamByKey.end() ? nullptr : &m_settings.teams[found->second];
}

const upstream_settings *routing_index::upstream(std::string_view name) const
{
    const auto found = m_upstreamByName.find(name);
    return found == m_upstreamByName.end() ? nullptr : &m_settings.upstreams[found->second];
}

std::set<std::string, std::less<>>
routing_index::streamingUpstreams(core::duration minObjective) const
{
    std::set<std::string, std::less<>> upstreams;
    if (minObjective <= core::duration::zero())
        return upstreams;
    for (const route &each : m_settings.routes) {
        if (each.kind != request_kind::Streaming || each.objective < minObjective)
            continue;
        for (const route_target &target : each.targets)
            upstreams.insert(target.upstream);
    }
    return upstreams;
}

} // namespace comfreypass::dispatch
