#include "dispatch/configuration_check.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace comfreypass::dispatch {

namespace {

using core::error;

error contradiction(std::string where, std::string detail, std::string remedy)
{
    return {core::errc::Conflict, std::move(where), std::move(detail), std::move(remedy)};
}

void checkTargets(const route &each, const configuration &settings, std::vector<error> &found)
{
    for (const route_target &target : each.targets) {
        const bool known
            = std::ranges::find(settings.upstreams, target.upstream, &upstream_settings::name)
              != settings.upstreams.end();
        if (!known)
            found.push_back(contradiction("route " + each.name,
                                          "the upstream '" + target.upstream + "' is not defined",
                                          "define it, or correct the name"));
    }
}

void checkRoute(const route &each, std::vector<error> &found)
{
    const std::string where = "route " + each.name;
    if (each.objective >= each.timeout)
        found.push_back(contradiction(where, "the latency objective is not less than the timeout",
                                      "lower the objective or raise the timeout"));
    if (each.maxAttempts > 1 && !each.retryable())
        found.push_back(contradiction(
            where, "allows several attempts, but requests of its kind are not retried",
            "allow one attempt, or correct the kind"));
    if (!each.pathPrefix.starts_with('/') || !each.pathPrefix.ends_with('/'))
        found.push_back(contradiction(where, "the path prefix does not begin and end with a slash",
                                      "write it as /name/"));
}

void checkRoutes(const configuration &settings, std::vector<error> &found)
{
    std::map<std::pair<std::string, std::string>, std::string> owner;
    for (const route &each : settings.routes) {
        checkRoute(each, found);
        checkTargets(each, settings, found);
        const auto [other, isNew] = owner.emplace(std::pair(each.host, each.pathPrefix), each.name);
        if (!isNew)
            found.push_back(contradiction(
                "route " + each.name, "has the same host and path prefix as route " + other->second,
                "remove one of them"));
        if (!each.isPublic && settings.teams.empty())
            found.push_back(
                contradiction("route " + each.name,
                              "requires a key, but there are no teams, so all callers are admitted",
                              "add the teams, or make the route public"));
    }
}

void checkTeams(const configuration &settings, std::vector<error> &found)
{
    std::map<std::string, std::string> owner;
    for (const team &each : settings.teams) {
        const std::string where = "team " + each.name;
        if (each.keys.empty())
            found.push_back(contradiction(where, "has no key", "add a key, or remove the team"));
        for (const std::string &key : each.keys) {
            const auto [other, isNew] = owner.emplace(key, each.name);
            // The key is a secret and must not appear in the message.
            if (!isNew && other->second != each.name)
                found.push_back(contradiction(where, "shares a key with team " + other->second,
                                              "assign different keys to each team"));
        }
        if (each.quota
            && each.quota->unitsPerSecond + each.quota->burstUnits < each.quota->defaultUnits)
            found.push_back(contradiction(where,
                                          "the quota admits no request without a stated size",
                                          "raise the rate or the burst"));
    }
}

void checkUpstreams(const configuration &settings, std::vector<error> &found)
{
    for (const upstream_settings &each : settings.upstreams) {
        const bool hasTime = each.coldTime > core::duration::zero();
        if (hasTime != (each.coldRequestsPerSecond > 0))
            found.push_back(contradiction("upstream " + each.name,
                                          "has a cold time without a cold rate, or vice versa",
                                          "set both or neither"));
    }
}

} // namespace

std::vector<error> findContradictions(const configuration &settings)
{
    std::vector<error> found;
    checkRoutes(settings, found);
    checkTeams(settings, found);
    checkUpstreams(settings, found);
    return found;
}

} // namespace comfreypass::dispatch
