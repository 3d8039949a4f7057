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

/** Name of an entry, whether its key is a plain string or a strong name. */
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
                       [&](const auto &entry) { return entry.second.usableBy(team.half); });
}

std::set<core::model_name> usableModels(const sheet &value, const core::half_name &half)
{
    std::set<core::model_name> models;
    for (const auto &[name, spec] : value.upstreams) {
        if (spec.usableBy(half))
            models.insert(spec.models.begin(), spec.models.end());
    }
    return models;
}

/** What the teams of a sheet hold in one tier. */
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

/** Compares two sheets part by part and collects the effects. */
class sheet_comparison
{
public:
    sheet_comparison(const sheet &before, const sheet &after) : m_before(before), m_after(after) { }

    std::vector<sheet_change> run()
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

    /** Calls the handlers for the entries of two maps that are only in one of them or in both. */
    template<class Map, class Added, class Removed, class Kept>
    static void compareMaps(const std::string &parent, const Map &before, const Map &after,
                            Added added, Removed removed, Kept kept)
    {
        for (const auto &[name, spec] : before) {
            const std::string where = childPointer(parent, textOf(name));
            const auto found = after.find(name);
            if (found == after.end())
                removed(where, spec);
            else
                kept(where, spec, found->second);
        }
        for (const auto &[name, spec] : after) {
            if (!before.contains(name))
                added(childPointer(parent, textOf(name)), spec);
        }
    }

    /** Reports a number that changes; a lower one is a warning. */
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
            [&](const std::string &where, const domain_spec &old, const domain_spec &now) {
                if (old.inService && !now.inService) {
                    add(severity::Warning, where,
                        "is taken out of service; it receives no new requests");
                } else if (!old.inService && now.inService) {
                    add(severity::Info, where, "returns; its instances begin with a cold start");
                }
                compareValue(severity::Warning, where, "region", old.region, now.region);
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
            [&](const std::string &where, const generation_spec &old, const generation_spec &now) {
                compareLimit(where, "prefill_tokens_per_second", old.prefillTokensPerSecond,
                             now.prefillTokensPerSecond);
                compareLimit(where, "decode_tokens_per_second", old.decodeTokensPerSecond,
                             now.decodeTokensPerSecond);
                compareLimit(where, "slots", old.slots, now.slots);
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
            [&](const std::string &where, const upstream_spec &old, const upstream_spec &now) {
                compareUpstream(where, old, now);
            });
    }

    void compareUpstream(const std::string &where, const upstream_spec &old,
                         const upstream_spec &now)
    {
        compareValue(severity::Warning, where, "owner", old.owner, now.owner);
        compareUsers(where, old, now);
        if (old.kind != now.kind) {
            add(severity::Dangerous, childPointer(where, "kind"),
                "changes; requests to the old kind are refused");
        }
        for (const core::model_name &model : old.models) {
            if (!contains(now.models, model)) {
                add(severity::Warning, childPointer(where, "models"),
                    "no longer has " + model.text());
            }
        }
        for (const core::model_name &model : now.models) {
            if (!contains(old.models, model))
                add(severity::Info, childPointer(where, "models"), "gains " + model.text());
        }
        compareOperations(childPointer(where, "operations"), old, now);
        compareValue<std::string>(severity::Warning, where, "fencing", keyword(old.fencing),
                                  keyword(now.fencing));
        compareValue<std::string>(severity::Warning, where, "sender_check", keyword(old.sender),
                                  keyword(now.sender));
        compareLimit(where, "service_slots", old.serviceSlots, now.serviceSlots);
        if (now.coldSlots > old.coldSlots) {
            add(severity::Warning, childPointer(where, "cold_slots"),
                "is raised " + fromTo(old.coldSlots, now.coldSlots)
                    + "; a cold instance that receives more than it bears collapses");
        } else {
            compareLimit(where, "cold_slots", old.coldSlots, now.coldSlots);
        }
    }

    void compareUsers(const std::string &where, const upstream_spec &old, const upstream_spec &now)
    {
        std::set<core::half_name> halves(m_before.halves.begin(), m_before.halves.end());
        halves.insert(m_after.halves.begin(), m_after.halves.end());
        for (const core::half_name &half : halves) {
            if (old.usableBy(half) && !now.usableBy(half)) {
                add(severity::Warning, childPointer(where, "shared_with"),
                    "the half " + half.text() + " may no longer use the upstream");
            } else if (!old.usableBy(half) && now.usableBy(half)) {
                add(severity::Info, childPointer(where, "shared_with"),
                    "the half " + half.text() + " may now use the upstream");
            }
        }
    }

    void compareOperations(const std::string &where, const upstream_spec &old,
                           const upstream_spec &now)
    {
        using key = std::pair<std::string, std::string>;
        const auto idempotent = [](const upstream_spec &spec) {
            std::map<key, bool> result;
            for (const operation_spec &each : spec.operations)
                result.emplace(key(each.method, each.path), each.idempotent);
            return result;
        };
        const auto before = idempotent(old);
        const auto after = idempotent(now);
        if (before == after)
            return;
        const auto isListed = [](const std::map<key, bool> &list, const key &operation) {
            const auto found = list.find(operation);
            return found != list.end() && found->second;
        };
        bool isExplained = false;
        for (const auto &[operation, value] : after) {
            if (value && !isListed(before, operation)) {
                isExplained = true;
                add(severity::Warning, where,
                    operation.first + " " + operation.second
                        + " counts as idempotent now, so it may be preempted");
            }
        }
        if (!isExplained)
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
            [&](const std::string &where, const team_spec &old, const team_spec &now) {
                compareTeam(where, old, now);
            });
    }

    void compareTeam(const std::string &where, const team_spec &old, const team_spec &now)
    {
        compareValue(severity::Warning, where, "half", old.half, now.half);
        compareValue(severity::Info, where, "weight", old.weight, now.weight);
        if (old.tokenSha256 != now.tokenSha256) {
            add(severity::Warning, childPointer(where, "token_sha256"),
                "changes; callers with the old token are refused");
        }
        for (core::tier tier = 0; tier < core::tierCount; ++tier) {
            const auto &before = old.tiers.at(tier);
            const auto &after = now.tiers.at(tier);
            const std::string place
                = childPointer(childPointer(where, "tiers"), std::to_string(tier));
            if (before && !after) {
                add(severity::Warning, place,
                    "the team loses the tier; its requests of this tier are refused");
            } else if (!before && after) {
                add(severity::Info, place, "the team gains the tier");
            } else if (before && after) {
                compareLimit(place, "in_flight", before->inFlight, after->inFlight);
            }
        }
        compareService(where, old, now);
    }

    /** What a team that remains can reach no longer. */
    void compareService(const std::string &where, const team_spec &old, const team_spec &now)
    {
        if (hasUsableUpstream(m_before, old) && !hasUsableUpstream(m_after, now)) {
            add(severity::Dangerous, where,
                "is left without a usable upstream; all its requests are refused");
            return;
        }
        const auto after = usableModels(m_after, now.half);
        for (const core::model_name &model : usableModels(m_before, old.half)) {
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
        const policy_spec &old = m_before.policy;
        const policy_spec &now = m_after.policy;
        if (old.whenUnconfirmed != now.whenUnconfirmed) {
            const bool serves = now.whenUnconfirmed == policy_spec::unconfirmed_action::Serve;
            add(severity::Warning, childPointer(where, "unconfirmed"),
                serves ? "changes to serve; an isolated node may use a domain that is out"
                       : "changes to refuse; an isolated minority refuses requests");
        }
        compareValue(severity::Info, where, "small_request_tokens", old.smallRequestTokens,
                     now.smallRequestTokens);
        compareLimit(where, "default_deadline_ms", old.defaultDeadline, now.defaultDeadline);
        compareValue(severity::Info, where, "first_token_target_ms", old.firstTokenTarget,
                     now.firstTokenTarget);
        compareValue(severity::Info, where, "token_gap_target_ms", old.tokenGapTarget,
                     now.tokenGapTarget);
    }

    void compareFleet()
    {
        if (m_before.entryNodes != m_after.entryNodes) {
            const bool isLower = m_after.entryNodes < m_before.entryNodes;
            add(isLower ? severity::Warning : severity::Info, "/fleet/entry_nodes",
                "changes " + fromTo(m_before.entryNodes, m_after.entryNodes)
                    + (isLower ? "; remove the nodes first, or vote shares add up to too much"
                               : "; the share of each node falls until the new ones vote"));
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
                    + "; nodes keep the old sheet or cannot tell the two apart");
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
    return sheet_comparison(before, after).run();
}

} // namespace comfreypass::sheet
