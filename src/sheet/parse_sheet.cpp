#include "sheet/parse_sheet.h"

#include "sheet/object_reader.h"
#include "sheet/parse_json.h"
#include "sheet/text_validators.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace comfreypass::sheet {

namespace {

using std::chrono::milliseconds;

// Integers above 2^53 lose precision in tools that store JSON numbers as doubles. The limit also
// prevents an operator from loading a revision that no later one can exceed.
constexpr std::int64_t maxRevision = (std::int64_t{1} << 53) - 1;
// Maximum number of members of the live view.
constexpr std::int64_t maxEntryNodes = 1'024;
constexpr std::int64_t maxSlots = 4'096;
constexpr std::int64_t maxInFlight = 100'000;
constexpr std::int64_t maxSmallRequestTokens = 1'000'000;
constexpr std::int64_t maxDeadlineMs = 3'600'000;
constexpr value_range<double> tokensPerSecondRange{0.1, 1e7};
constexpr value_range<double> weightRange{0.001, 1'000};

constexpr std::array<std::pair<std::string_view, bool>, 2> domainStates
    = {{{"in", true}, {"out", false}}};
constexpr std::array<std::pair<std::string_view, upstream_kind>, 2> upstreamKinds
    = {{{"model", upstream_kind::Model}, {"service", upstream_kind::Service}}};
constexpr std::array<std::pair<std::string_view, fencing_check>, 2> fencingChecks
    = {{{"refuses", fencing_check::Refuses}, {"ignores", fencing_check::Ignores}}};
constexpr std::array<std::pair<std::string_view, policy_spec::unconfirmed_action>, 2>
    unconfirmedActions = {{{"refuse", policy_spec::unconfirmed_action::Refuse},
                           {"serve", policy_spec::unconfirmed_action::Serve}}};

template<class E, std::size_t N>
std::span<const std::pair<std::string_view, E>>
keywordTable(const std::array<std::pair<std::string_view, E>, N> &table)
{
    return table;
}

/** Reads and validates a sheet from its JSON document. */
class sheet_reader
{
public:
    explicit sheet_reader(std::vector<core::error> &errors) : m_errors(errors) { }

    sheet read(const boost::json::value &document)
    {
        object_reader root(&document, {}, m_errors);
        root.integer("revision", presence::Required, {1, maxRevision}, m_sheet.revision);
        readFleet(root);
        readHalves(root);
        readDomains(root);
        readGenerations(root);
        readUpstreams(root);
        readTeams(root);
        readPolicy(root);
        root.reportUnknownKeys();
        return std::move(m_sheet);
    }

private:
    void readFleet(object_reader &root)
    {
        object_reader fleet = root.object("fleet", presence::Required);
        fleet.integer("entry_nodes", presence::Required, {1, maxEntryNodes}, m_sheet.entryNodes);
        fleet.reportUnknownKeys();
    }

    void readHalves(object_reader &root)
    {
        std::vector<std::string> names;
        const std::size_t errorsBefore = root.errorCount();
        root.texts("halves", presence::Required, validateName, names);
        if (names.empty() && root.errorCount() == errorsBefore) {
            root.addError(root.pointerTo("halves"), "no half is listed",
                          "list the halves that own upstreams and teams");
        }
        for (std::string &name : names)
            m_sheet.halves.emplace_back(std::move(name));
    }

    void readDomains(object_reader &root)
    {
        const std::size_t errorsBefore = root.errorCount();
        root.entries("failure_domains", presence::Required, validateName,
                     [this](const std::string &name, object_reader &entry) {
                         domain_spec spec;
                         entry.text("region", presence::Required, validateName, spec.region);
                         entry.keyword("state", presence::Optional, keywordTable(domainStates),
                                       spec.inService);
                         entry.reportUnknownKeys();
                         m_sheet.domains.emplace(name, std::move(spec));
                     });
        if (m_sheet.domains.empty() && root.errorCount() == errorsBefore) {
            root.addError(root.pointerTo("failure_domains"), "no failure domain is listed",
                          "list each failure domain that has nodes or upstream instances");
        }
    }

    void readGenerations(object_reader &root)
    {
        const std::size_t errorsBefore = root.errorCount();
        root.entries("generations", presence::Optional, validateName,
                     [this](const std::string &name, object_reader &entry) {
                         generation_spec spec;
                         entry.real("prefill_tokens_per_second", presence::Required,
                                    tokensPerSecondRange, spec.prefillTokensPerSecond);
                         entry.real("decode_tokens_per_second", presence::Required,
                                    tokensPerSecondRange, spec.decodeTokensPerSecond);
                         entry.integer("slots", presence::Required, {1, maxSlots}, spec.slots);
                         entry.reportUnknownKeys();
                         m_sheet.generations.emplace(name, spec);
                     });
        m_lacksGenerations = m_sheet.generations.empty() && root.errorCount() == errorsBefore;
    }

    void readUpstreams(object_reader &root)
    {
        root.entries("upstreams", presence::Optional, validateName,
                     [this](const std::string &name, object_reader &entry) {
                         upstream_spec spec = readUpstream(entry);
                         m_sheet.upstreams.emplace(name, std::move(spec));
                     });
        const auto isModel = [](const auto &entry) {
            return entry.second.kind == upstream_kind::Model;
        };
        if (m_lacksGenerations
            && std::any_of(m_sheet.upstreams.begin(), m_sheet.upstreams.end(), isModel)) {
            root.addError(root.pointerTo("generations"),
                          "there are upstreams of kind \"model\" but no generation",
                          "add the speeds of each hardware generation");
        }
    }

    upstream_spec readUpstream(object_reader &entry)
    {
        upstream_spec spec;
        spec.owner = core::half_name(readHalf(entry, "owner"));
        readSharedWith(entry, spec);
        entry.keyword("kind", presence::Optional, keywordTable(upstreamKinds), spec.kind);
        std::vector<std::string> models;
        const std::size_t errorsBefore = entry.errorCount();
        entry.texts("models", presence::Optional, validateModel, models);
        for (std::string &model : models)
            spec.models.emplace_back(std::move(model));
        if (spec.kind == upstream_kind::Model && spec.models.empty()
            && entry.errorCount() == errorsBefore) {
            entry.addError(entry.pointerTo("models"),
                           "an upstream of kind \"model\" serves no model",
                           "list its models, or set kind to \"service\"");
        }
        readOperations(entry, spec);
        entry.keyword("fencing", presence::Optional, keywordTable(fencingChecks), spec.fencing);
        entry.keyword("sender_check", presence::Optional, keywordTable(fencingChecks), spec.sender);
        entry.integer("service_slots", presence::Optional, {1, maxSlots}, spec.serviceSlots);
        entry.integer("cold_slots", presence::Optional, {1, maxSlots}, spec.coldSlots);
        checkKeysOfKind(entry, spec);
        entry.reportUnknownKeys();
        return spec;
    }

    void readSharedWith(object_reader &entry, upstream_spec &spec)
    {
        std::vector<std::string> names;
        entry.texts("shared_with", presence::Optional, validateName, names);
        for (std::string &name : names) {
            core::half_name half(std::move(name));
            if (!isHalf(half)) {
                addUnknownHalf(entry, "shared_with", half.text());
            } else if (half == spec.owner) {
                entry.addError(entry.pointerTo("shared_with"),
                               "names the owner \"" + half.text() + "\" itself",
                               "list only other halves");
            }
            spec.sharedWith.push_back(std::move(half));
        }
    }

    static void readOperations(object_reader &entry, upstream_spec &spec)
    {
        std::set<std::pair<std::string, std::string>> seen;
        entry.elements("operations", [&](object_reader &element) {
            operation_spec operation;
            element.text("method", presence::Required, validateMethod, operation.method);
            element.text("path", presence::Required, validateOperationPath, operation.path);
            element.boolean("idempotent", presence::Optional, operation.idempotent);
            element.reportUnknownKeys();
            if (!operation.method.empty() && !operation.path.empty()
                && !seen.emplace(operation.method, operation.path).second) {
                element.addError(element.pointer(),
                                 "the operation " + operation.method + " " + operation.path
                                     + " is listed twice",
                                 "keep one of the two entries");
            }
            spec.operations.push_back(std::move(operation));
        });
    }

    static void checkKeysOfKind(object_reader &entry, const upstream_spec &spec)
    {
        if (spec.kind == upstream_kind::Model) {
            for (const char *key : {"operations", "service_slots"})
                rejectKey(entry, key, "model");
            return;
        }
        rejectKey(entry, "models", "service");
        if (spec.coldSlots > spec.serviceSlots) {
            entry.addError(entry.pointerTo("cold_slots"),
                           "is greater than service_slots, the limit of a warm instance",
                           "use at most service_slots");
        }
    }

    static void rejectKey(object_reader &entry, const char *key, const std::string &kind)
    {
        if (entry.has(key)) {
            entry.addError(entry.pointerTo(key),
                           "has no meaning for an upstream of kind \"" + kind + "\"",
                           "remove it or correct kind");
        }
    }

    void readTeams(object_reader &root)
    {
        root.entries("teams", presence::Optional, validateName,
                     [this](const std::string &name, object_reader &entry) {
                         team_spec spec = readTeam(name, entry);
                         m_sheet.teams.emplace(name, std::move(spec));
                     });
    }

    team_spec readTeam(const std::string &name, object_reader &entry)
    {
        team_spec spec;
        spec.half = core::half_name(readHalf(entry, "half"));
        entry.real("weight", presence::Optional, weightRange, spec.weight);
        readTiers(entry, spec);
        entry.text("token_sha256", presence::Required, validateSha256, spec.tokenSha256);
        entry.reportUnknownKeys();
        if (spec.tokenSha256.empty())
            return spec;
        const auto [other, isNew] = m_teamOfToken.emplace(spec.tokenSha256, name);
        if (!isNew) {
            entry.addError(entry.pointerTo("token_sha256"),
                           "is also the token of the team \"" + other->second + "\"",
                           "use a unique token for each team");
        }
        return spec;
    }

    static void readTiers(object_reader &entry, team_spec &spec)
    {
        const auto validateTier = [](std::string_view text) {
            const bool isTier = text.size() == 1 && text.front() >= '0'
                                && text.front() < static_cast<char>('0' + core::tierCount);
            return isTier ? nullptr : "a tier from \"0\" (the highest) to \"4\"";
        };
        const std::size_t errorsBefore = entry.errorCount();
        entry.entries(
            "tiers", presence::Required, validateTier,
            [&](const std::string &name, object_reader &tier) {
                team_spec::tier_limit limit;
                tier.integer("in_flight", presence::Required, {1, maxInFlight}, limit.inFlight);
                tier.reportUnknownKeys();
                spec.tiers.at(static_cast<std::size_t>(name.front() - '0')) = limit;
            });
        const bool hasTier = std::any_of(spec.tiers.begin(), spec.tiers.end(),
                                         [](const auto &limit) { return limit.has_value(); });
        if (!hasTier && entry.errorCount() == errorsBefore) {
            entry.addError(entry.pointerTo("tiers"), "the team holds no tier",
                           "add at least one, for example \"2\": {\"in_flight\": 8}");
        }
    }

    void readPolicy(object_reader &root)
    {
        object_reader entry = root.object("policy", presence::Optional);
        policy_spec &policy = m_sheet.policy;
        entry.keyword("unconfirmed", presence::Optional, keywordTable(unconfirmedActions),
                      policy.unconfirmedAction);
        entry.integer("small_request_tokens", presence::Optional, {1, maxSmallRequestTokens},
                      policy.smallRequestTokens);
        entry.integer("default_deadline_ms", presence::Optional, {1, maxDeadlineMs},
                      policy.defaultDeadline);
        entry.integer("first_token_target_ms", presence::Optional, {1, maxDeadlineMs},
                      policy.firstTokenTarget);
        entry.integer("token_gap_target_ms", presence::Optional, {1, maxDeadlineMs},
                      policy.tokenGapTarget);
        entry.reportUnknownKeys();
    }

    /** Reads the name of a half and reports an error unless the sheet lists it. */
    std::string readHalf(object_reader &entry, std::string_view key)
    {
        std::string name;
        entry.text(key, presence::Required, validateName, name);
        if (!name.empty() && !isHalf(core::half_name(name)))
            addUnknownHalf(entry, key, name);
        return name;
    }

    bool isHalf(const core::half_name &name) const
    {
        return std::find(m_sheet.halves.begin(), m_sheet.halves.end(), name)
               != m_sheet.halves.end();
    }

    static void addUnknownHalf(object_reader &entry, std::string_view key, const std::string &name)
    {
        entry.addError(entry.pointerTo(key), "\"" + name + "\" is not a known half",
                       "use a name of \"halves\", or add it there");
    }

    std::vector<core::error> &m_errors;
    sheet m_sheet;
    bool m_lacksGenerations = false;
    std::map<std::string, std::string> m_teamOfToken;
};

} // namespace

validated<sheet> parseSheet(std::string_view text)
{
    auto document = parseJson(text, maxSheetBytes);
    if (!document)
        return std::move(document).error();
    return readSheet(document.value());
}

validated<sheet> readSheet(const boost::json::value &document)
{
    std::vector<core::error> errors;
    sheet value = sheet_reader(errors).read(document);
    if (!errors.empty())
        return errors;
    return value;
}

} // namespace comfreypass::sheet
