#include "sheet/sheet_diff.h"

#include "sheet/json_pointer.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <set>
#include <sstream>
#include <utility>

namespace comfreypass::sheet {

namespace {

template<class T>
std::string format(const T &value)
{
    std::ostringstream stream;
    if constexpr (requires { value.text(); })
        stream << value.text();
    else if constexpr (requires { value.count(); })
        stream << value.count() << " ms";
    else
        stream << value;
    return stream.str();
}

template<class T>
std::string fromTo(const T &before, const T &after)
{
    return "from " + format(before) + " to " + format(after);
}

const char *keyword(fencing_check check)
{
    return check == fencing_check::Refuses ? "refuses" : "ignores";
}

/** Returns the name of an entry whose key is a plain string or a strongly typed name. */
const std::string &textOf(const std::string &key)
{
    return key;
}

template<class Tag>
const std::string &textOf(const core::name<Tag> &key)
{
    return key.text();
}

template<class T>
bool contains(const std::vector<T> &list, const T &value)
{
    return std::find(list.begin(), list.end(), value) != list.end();
}

std::size_t domainsInService(const sheet &value)
{
    return static_cast<std::size_t>(
        std::count_if(value.domains.begin(), value.domains.end(),
                      [](const auto &entry) { return entry.second.inService; }));
}

bool hasUsableUpstream(const sheet &value, const team_spec &team)
{
    return std::any_of(value.upstreams.begin(), value.upstreams.end(),
                       [&](const auto &entry) { return entry.second.isUsableBy(team.half); });
}

std::set<core::model_name> usableModels(const sheet &value, const core::half_name &half)
{
    std::set<core::model_name> models;
    for (const auto &[name, spec] : value.upstreams) {
        if (spec.isUsableBy(half))
            models.insert(spec.models.begin(), spec.models.end());
    }
    return models;
}

/** Limits and number of the teams with a usable upstream in one tier. */
struct tier_capacity
{
    std::uint64_t inFlight = 0;
    std::size_t servedTeams = 0;
};

tier_capacity capacityOf(const sheet &value, core::tier tier)
{
    tier_capacity sum;
    for (const auto &[name, team] : value.teams) {
        const auto &limit = team.tiers.at(tier);
        if (!limit || !hasUsableUpstream(value, team))
            continue;
        sum.inFlight += limit->inFlight;
        ++sum.servedTeams;
    }
    return sum;
}

/** Compares two sheets section by section and collects the effects. */
class sheet_comparison
{
public:
    sheet_comparison(const sheet &before, const sheet &after) : m_before(before), m_after(after) { }

    std::vector<sheet_change> compare()
    {
        compareDomains();
        compareGenerations();
        compareUpstreams();
        compareTeams();
        compareTiers();
        comparePolicy();
        compareFleet();
        std::stable_sort(m_changes.begin(), m_changes.end(),
                         [](const auto &a, const auto &b) { return a.level > b.level; });
        return std::move(m_changes);
    }

private:
    void add(severity level, std::string where, std::string detail)
    {
        m_changes.push_back({level, std::move(where), std::move(detail)});
    }

    /** Calls the matching handler for each entry that is added, removed or in both maps. */
    template<class Map, class Added, class Removed, class Common>
    static void compareMaps(const std::string &parent, const Map &before, const Map &after,
                            Added added, Removed removed, Common common)
    {
        for (const auto &[name, spec] : before) {
            const std::string where = childPointer(parent, textOf(name));
            const auto found = after.find(name);
            if (found == after.end())
                removed(where, spec);
            else
                common(where, spec, found->second);
        }
        for (const auto &[name, spec] : after) {
            if (!before.contains(name))
                added(childPointer(parent, textOf(name)), spec);
        }
    }

    /** Reports a changed limit; a lowered limit is a warning. */
    template<class T>
    void compareLimit(const std::string &where, const char *key, const T &before, const T &after)
    {
        if (before == after)
            return;
        const bool isLower = after < before;
        add(isLower ? severity::Warning : severity::Info, childPointer(where, key),
            std::string(isLower ? "is lowered " : "is raised ") + fromTo(before, after));
    }

    template<class T>
    void compareValue(severity level, const std::string &where, const char *key, const T &before,
                      const T &after)
    {
        if (before != after)
            add(level, childPointer(where, key), "changes " + fromTo(before, after));
    }

    void compareDomains()
    {
        const std::size_t before = domainsInService(m_before);
        const std::size_t after = domainsInService(m_after);
        compareMaps(
            "/failure_domains", m_before.domains, m_after.domains,
            [&](const std::string &where, const domain_spec &spec) {
                add(severity::Info, where,
                    spec.inService ? "is added, in service" : "is added, out of service");
            },
            [&](const std::string &where, const domain_spec &spec) {
                add(spec.inService ? severity::Warning : severity::Info, where,
                    "is removed; it receives no new requests");
            },
            [&](const std::string &where, const domain_spec &oldSpec, const domain_spec &newSpec) {
                if (oldSpec.inService && !newSpec.inService) {
                    add(severity::Warning, where,
                        "is taken out of service; it receives no new requests");
                } else if (!oldSpec.inService && newSpec.inService) {
                    add(severity::Info, where,
                        "is returned to service; its instances begin with a cold start");
                }
                compareValue(severity::Warning, where, "region", oldSpec.region, newSpec.region);
            });
        if (after == 0 && before > 0)
            add(severity::Dangerous, "/failure_domains", "no failure domain remains in service");
        else if (after < before) {
            add(severity::Warning, "/failure_domains",
                "every tier loses the instances of " + std::to_string(before - after) + " of "
                    + std::to_string(before) + " failure domains in service");
        }
    }

    void compareGenerations()
    {
        compareMaps(
            "/generations", m_before.generations, m_after.generations,
            [&](const std::string &where, const generation_spec &) {
                add(severity::Info, where, "is added");
            },
            [&](const std::string &where, const generation_spec &) {
                add(severity::Dangerous, where,
                    "is removed; engines of this generation have no known speed");
            },
            [&](const std::string &where, const generation_spec &oldSpec,
                const generation_spec &newSpec) {
                compareLimit(where, "prefill_tokens_per_second", oldSpec.prefillTokensPerSecond,
                             newSpec.prefillTokensPerSecond);
                compareLimit(where, "decode_tokens_per_second", oldSpec.decodeTokensPerSecond,
                             newSpec.decodeTokensPerSecond);
                compareLimit(where, "slots", oldSpec.slots, newSpec.slots);
            });
    }

    void compareUpstreams()
    {
        compareMaps(
            "/upstreams", m_before.upstreams, m_after.upstreams,
            [&](const std::string &where, const upstream_spec &spec) {
                add(severity::Info, where, "is added, owned by " + spec.owner.text());
            },
            [&](const std::string &where, const upstream_spec &spec) {
                add(severity::Dangerous, where,
                    "is removed; all its requests are refused (owner " + spec.owner.text() + ")");
            },
            [&](const std::string &where, const upstream_spec &oldSpec,
                const upstream_spec &newSpec) { compareUpstream(where, oldSpec, newSpec); });
    }

    void compareUpstream(const std::string &where, const upstream_spec &oldSpec,
                         const upstream_spec &newSpec)
    {
        compareValue(severity::Warning, where, "owner", oldSpec.owner, newSpec.owner);
        compareAccess(where, oldSpec, newSpec);
        if (oldSpec.kind != newSpec.kind) {
            add(severity::Dangerous, childPointer(where, "kind"),
                "changes; requests to the old kind are refused");
        }
        for (const core::model_name &model : oldSpec.models) {
            if (!contains(newSpec.models, model)) {
                add(severity::Warning, childPointer(where, "models"),
                    "no longer has " + model.text());
            }
        }
        for (const core::model_name &model : newSpec.models) {
            if (!contains(oldSpec.models, model))
                add(severity::Info, childPointer(where, "models"), "gains " + model.text());
        }
        compareOperations(childPointer(where, "operations"), oldSpec, newSpec);
        compareValue<std::string>(severity::Warning, where, "fencing", keyword(oldSpec.fencing),
                                  keyword(newSpec.fencing));
        compareValue<std::string>(severity::Warning, where, "sender_check", keyword(oldSpec.sender),
                                  keyword(newSpec.sender));
        compareLimit(where, "service_slots", oldSpec.serviceSlots, newSpec.serviceSlots);
        if (newSpec.coldSlots > oldSpec.coldSlots) {
            add(severity::Warning, childPointer(where, "cold_slots"),
                "is raised " + fromTo(oldSpec.coldSlots, newSpec.coldSlots)
                    + "; a cold instance that receives more requests than it can handle collapses");
        } else {
            compareLimit(where, "cold_slots", oldSpec.coldSlots, newSpec.coldSlots);
        }
    }

    void compareAccess(const std::string &where, const upstream_spec &oldSpec,
                       const upstream_spec &newSpec)
    {
        std::set<core::half_name> halves(m_before.halves.begin(), m_before.halves.end());
        halves.insert(m_after.halves.begin(), m_after.halves.end());
        for (const core::half_name &half : halves) {
            if (oldSpec.isUsableBy(half) && !newSpec.isUsableBy(half)) {
                add(severity::Warning, childPointer(where, "shared_with"),
                    "the half " + half.text() + " may no longer use the upstream");
            } else if (!oldSpec.isUsableBy(half) && newSpec.isUsableBy(half)) {
                add(severity::Info, childPointer(where, "shared_with"),
                    "the half " + half.text() + " may now use the upstream");
            }
        }
    }

    void compareOperations(const std::string &where, const upstream_spec &oldSpec,
                           const upstream_spec &newSpec)
    {
        using key = std::pair<std::string, std::string>;
        const auto idempotencyOf = [](const upstream_spec &spec) {
            std::map<key, bool> result;
            for (const operation_spec &each : spec.operations)
                result.emplace(key(each.method, each.path), each.idempotent);
            return result;
        };
        const auto before = idempotencyOf(oldSpec);
        const auto after = idempotencyOf(newSpec);
        if (before == after)
            return;
        const auto isIdempotent = [](const std::map<key, bool> &list, const key &operation) {
            const auto found = list.find(operation);
            return found != list.end() && found->second;
        };
        bool isReported = false;
        for (const auto &[operation, value] : after) {
            if (value && !isIdempotent(before, operation)) {
                isReported = true;
                add(severity::Warning, where,
                    operation.first + " " + operation.second
                        + " is now idempotent, so it may be preempted");
            }
        }
        if (!isReported)
            add(severity::Info, where, "the list of operations changes");
    }

    void compareTeams()
    {
        compareMaps(
            "/teams", m_before.teams, m_after.teams,
            [&](const std::string &where, const team_spec &team) {
                add(severity::Info, where, "is added");
                if (!hasUsableUpstream(m_after, team))
                    add(severity::Warning, where, "has no usable upstream");
            },
            [&](const std::string &where, const team_spec &) {
                add(severity::Dangerous, where, "is removed; all its requests are refused");
            },
            [&](const std::string &where, const team_spec &oldSpec, const team_spec &newSpec) {
                compareTeam(where, oldSpec, newSpec);
            });
    }

    void compareTeam(const std::string &where, const team_spec &oldSpec, const team_spec &newSpec)
    {
        compareValue(severity::Warning, where, "half", oldSpec.half, newSpec.half);
        compareValue(severity::Info, where, "weight", oldSpec.weight, newSpec.weight);
        if (oldSpec.tokenSha256 != newSpec.tokenSha256) {
            add(severity::Warning, childPointer(where, "token_sha256"),
                "changes; callers with the old token are refused");
        }
        for (core::tier tier = 0; tier < core::tierCount; ++tier) {
            const auto &before = oldSpec.tiers.at(tier);
            const auto &after = newSpec.tiers.at(tier);
            const std::string tierPointer
                = childPointer(childPointer(where, "tiers"), std::to_string(tier));
            if (before && !after) {
                add(severity::Warning, tierPointer,
                    "the team loses the tier; its requests of this tier are refused");
            } else if (!before && after) {
                add(severity::Info, tierPointer, "the team gains the tier");
            } else if (before && after) {
                compareLimit(tierPointer, "in_flight", before->inFlight, after->inFlight);
            }
        }
        compareUsableModels(where, oldSpec, newSpec);
    }

    /** Reports the models that an existing team can no longer use. */
    void compareUsableModels(const std::string &where, const team_spec &oldSpec,
                             const team_spec &newSpec)
    {
        if (hasUsableUpstream(m_before, oldSpec) && !hasUsableUpstream(m_after, newSpec)) {
            add(severity::Dangerous, where,
                "is left without a usable upstream; all its requests are refused");
            return;
        }
        const auto after = usableModels(m_after, newSpec.half);
        for (const core::model_name &model : usableModels(m_before, oldSpec.half)) {
            if (!after.contains(model)) {
                add(severity::Dangerous, where,
                    "is left without an upstream for the model " + model.text());
            }
        }
    }

    void compareTiers()
    {
        for (core::tier tier = 0; tier < core::tierCount; ++tier) {
            const tier_capacity before = capacityOf(m_before, tier);
            const tier_capacity after = capacityOf(m_after, tier);
            const std::string name = "tier " + std::to_string(tier);
            if (before.servedTeams > 0 && after.servedTeams == 0) {
                add(severity::Dangerous, "/teams",
                    name + " is left without a team that has a usable upstream");
            } else if (after.inFlight < before.inFlight) {
                const std::uint64_t lost = before.inFlight - after.inFlight;
                add(severity::Warning, "/teams",
                    name + " loses " + std::to_string(lost) + " of "
                        + std::to_string(before.inFlight) + " requests in flight ("
                        + std::to_string(100 * lost / before.inFlight) + "%)");
            }
        }
    }

    void comparePolicy()
    {
        const std::string where = "/policy";
        const policy_spec &oldSpec = m_before.policy;
        const policy_spec &newSpec = m_after.policy;
        if (oldSpec.unconfirmedAction != newSpec.unconfirmedAction) {
            const bool serves = newSpec.unconfirmedAction == policy_spec::unconfirmed_action::Serve;
            add(severity::Warning, childPointer(where, "unconfirmed"),
                serves ? "changes to serve; an isolated node may use a domain that is out"
                       : "changes to refuse; an isolated minority refuses requests");
        }
        compareValue(severity::Info, where, "small_request_tokens", oldSpec.smallRequestTokens,
                     newSpec.smallRequestTokens);
        compareLimit(where, "default_deadline_ms", oldSpec.defaultDeadline,
                     newSpec.defaultDeadline);
        compareValue(severity::Info, where, "first_token_target_ms", oldSpec.firstTokenTarget,
                     newSpec.firstTokenTarget);
        compareValue(severity::Info, where, "token_gap_target_ms", oldSpec.tokenGapTarget,
                     newSpec.tokenGapTarget);
    }

    void compareFleet()
    {
        if (m_before.entryNodes != m_after.entryNodes) {
            const bool isLower = m_after.entryNodes < m_before.entryNodes;
            add(isLower ? severity::Warning : severity::Info, "/fleet/entry_nodes",
                "changes " + fromTo(m_before.entryNodes, m_after.entryNodes)
                    + (isLower
                           ? "; remove the nodes first, otherwise the vote shares add up to more "
                             "than 100%"
                           : "; the vote share of each node is lower until the new nodes vote"));
        }
        for (const core::half_name &half : m_before.halves) {
            if (!contains(m_after.halves, half))
                add(severity::Info, "/halves", "the half " + half.text() + " is removed");
        }
        for (const core::half_name &half : m_after.halves) {
            if (!contains(m_before.halves, half))
                add(severity::Info, "/halves", "the half " + half.text() + " is added");
        }
        if (!m_changes.empty() && m_after.revision <= m_before.revision) {
            add(severity::Dangerous, "/revision",
                "is not raised " + fromTo(m_before.revision, m_after.revision)
                    + "; nodes keep the old sheet or cannot distinguish the two");
        } else if (m_after.revision != m_before.revision) {
            add(severity::Info, "/revision",
                "changes " + fromTo(m_before.revision, m_after.revision));
        }
    }

    const sheet &m_before;
    const sheet &m_after;
    std::vector<sheet_change> m_changes;
};

} // namespace

std::string_view toString(severity value) noexcept
{
    static constexpr std::array<std::string_view, 3> names = {"info", "warning", "dangerous"};
    return names.at(static_cast<std::size_t>(value));
}

std::vector<sheet_change> sheetDiff(const sheet &before, const sheet &after)
{
    return sheet_comparison(before, after).compare();
}

} // namespace comfreypass::sheet
