#include "sheet/parse_sheet.h"

#include "sheet/object_reader.h"
#include "sheet/parse_json.h"
#include "sheet/text_rules.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace comfreypass::sheet {

namespace {

using std::chrono::milliseconds;

// Integers above 2^53 lose digits in tools that keep JSON numbers as doubles. The bound also keeps
// an operator from loading a revision that no later one can exceed.
constexpr std::int64_t greatestRevision = (std::int64_t{1} << 53) - 1;
// The live view holds 1,024 members.
constexpr std::int64_t mostEntryNodes = 1'024;
constexpr std::int64_t mostSlots = 4'096;
constexpr std::int64_t mostInFlight = 100'000;
constexpr std::int64_t mostSmallTokens = 1'000'000;
constexpr std::int64_t longestDeadlineMs = 3'600'000;
constexpr value_range<double> tokenRates{0.1, 1e7};
constexpr value_range<double> weights{0.001, 1'000};

constexpr std::array<std::pair<std::string_view, bool>, 2> domainStates
    = {{{"in", true}, {"out", false}}};
constexpr std::array<std::pair<std::string_view, upstream_kind>, 2> kinds
    = {{{"model", upstream_kind::Model}, {"service", upstream_kind::Service}}};
constexpr std::array<std::pair<std::string_view, order_check>, 2> orderChecks
    = {{{"refuses", order_check::Refuses}, {"ignores", order_check::Ignores}}};
constexpr std::array<std::pair<std::string_view, policy_facts::unconfirmed>, 2> unconfirmedWords = {
    {{"refuse", policy_facts::unconfirmed::Refuse}, {"serve", policy_facts::unconfirmed::Serve}}};

template<class E, std::size_t N>
std::span<const std::pair<std::string_view, E>>
words(const std::array<std::pair<std::string_view, E>, N> &table)
{
    return table;
}

/** Fills a sheet from its document, part by part. */
class sheet_reader
{
public:
    explicit sheet_reader(std::vector<core::error> &errors) : m_errors(errors) { }

    sheet read(const boost::json::value &document)
    {
        object_reader root(&document, {}, m_errors);
        root.integer("revision", presence::Required, {1, greatestRevision}, m_sheet.revision);
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
        fleet.integer("entry_nodes", presence::Required, {1, mostEntryNodes}, m_sheet.entryNodes);
        fleet.reportUnknownKeys();
    }

    void readHalves(object_reader &root)
    {
        std::vector<std::string> names;
        const std::size_t errorsBefore = root.errorCount();
        root.texts("halves", presence::Required, nameRule, names);
        if (names.empty() && root.errorCount() == errorsBefore) {
            root.addError(root.pointerTo("halves"), "no half is named",
                          "name the halves that own upstreams and teams");
        }
        for (std::string &name : names)
            m_sheet.halves.emplace_back(std::move(name));
    }

    void readDomains(object_reader &root)
    {
        const std::size_t errorsBefore = root.errorCount();
        root.entries("failure_domains", presence::Required, nameRule,
                     [this](const std::string &name, object_reader &entry) {
                         domain_facts facts;
                         entry.text("region", presence::Required, nameRule, facts.region);
                         entry.word("state", presence::Optional, words(domainStates),
                                    facts.inService);
                         entry.reportUnknownKeys();
                         m_sheet.domains.emplace(name, std::move(facts));
                     });
        if (m_sheet.domains.empty() && root.errorCount() == errorsBefore) {
            root.addError(root.pointerTo("failure_domains"), "no failure domain is named",
                          "name each failure domain that has nodes or upstream instances");
        }
    }

    void readGenerations(object_reader &root)
    {
        const std::size_t errorsBefore = root.errorCount();
        root.entries("generations", presence::Optional, nameRule,
                     [this](const std::string &name, object_reader &entry) {
                         generation_facts facts;
                         entry.real("prefill_tokens_per_second", presence::Required, tokenRates,
                                    facts.prefillTokensPerSecond);
                         entry.real("decode_tokens_per_second", presence::Required, tokenRates,
                                    facts.decodeTokensPerSecond);
                         entry.integer("slots", presence::Required, {1, mostSlots}, facts.slots);
                         entry.reportUnknownKeys();
                         m_sheet.generations.emplace(name, facts);
                     });
        m_hasNoGeneration = m_sheet.generations.empty() && root.errorCount() == errorsBefore;
    }

    void readUpstreams(object_reader &root)
    {
        root.entries("upstreams", presence::Optional, nameRule,
                     [this](const std::string &name, object_reader &entry) {
                         upstream_facts facts = readUpstream(entry);
                         m_sheet.upstreams.emplace(name, std::move(facts));
                     });
        const auto isModel = [](const auto &entry) {
            return entry.second.kind == upstream_kind::Model;
        };
        if (m_hasNoGeneration
            && std::any_of(m_sheet.upstreams.begin(), m_sheet.upstreams.end(), isModel)) {
            root.addError(root.pointerTo("generations"),
                          "there are upstreams of kind \"model\" but no generation",
                          "add the speeds of each hardware generation");
        }
    }

    upstream_facts readUpstream(object_reader &entry)
    {
        upstream_facts facts;
        facts.owner = core::half_name(readHalf(entry, "owner"));
        readSharedWith(entry, facts);
        entry.word("kind", presence::Optional, words(kinds), facts.kind);
        std::vector<std::string> models;
        const std::size_t errorsBefore = entry.errorCount();
        entry.texts("models", presence::Optional, modelRule, models);
        for (std::string &model : models)
            facts.models.emplace_back(std::move(model));
        if (facts.kind == upstream_kind::Model && facts.models.empty()
            && entry.errorCount() == errorsBefore) {
            entry.addError(entry.pointerTo("models"),
                           "an upstream of kind \"model\" serves no model",
                           "list its models, or set kind to \"service\"");
        }
        readOperations(entry, facts);
        entry.word("fencing", presence::Optional, words(orderChecks), facts.fencing);
        entry.word("sender_check", presence::Optional, words(orderChecks), facts.sender);
        entry.integer("service_slots", presence::Optional, {1, mostSlots}, facts.serviceSlots);
        entry.integer("cold_slots", presence::Optional, {1, mostSlots}, facts.coldSlots);
        checkKind(entry, facts);
        entry.reportUnknownKeys();
        return facts;
    }

    void readSharedWith(object_reader &entry, upstream_facts &facts)
    {
        std::vector<std::string> names;
        entry.texts("shared_with", presence::Optional, nameRule, names);
        for (std::string &name : names) {
            core::half_name half(std::move(name));
            if (!isHalf(half)) {
                addUnknownHalf(entry, "shared_with", half.text());
            } else if (half == facts.owner) {
                entry.addError(entry.pointerTo("shared_with"),
                               "names the owner \"" + half.text() + "\" itself",
                               "list only other halves");
            }
            facts.sharedWith.push_back(std::move(half));
        }
    }

    static void readOperations(object_reader &entry, upstream_facts &facts)
    {
        std::set<std::pair<std::string, std::string>> seen;
        entry.elements("operations", [&](object_reader &element) {
            operation_facts operation;
            element.text("method", presence::Required, methodRule, operation.method);
            element.text("path", presence::Required, operationPathRule, operation.path);
            element.boolean("idempotent", presence::Optional, operation.idempotent);
            element.reportUnknownKeys();
            if (!operation.method.empty() && !operation.path.empty()
                && !seen.emplace(operation.method, operation.path).second) {
                element.addError(element.pointer(),
                                 "the operation " + operation.method + " " + operation.path
                                     + " is listed twice",
                                 "keep one of the two entries");
            }
            facts.operations.push_back(std::move(operation));
        });
    }

    static void checkKind(object_reader &entry, const upstream_facts &facts)
    {
        if (facts.kind == upstream_kind::Model) {
            for (const char *key : {"operations", "service_slots"})
                refuseKey(entry, key, "model");
            return;
        }
        refuseKey(entry, "models", "service");
        if (facts.coldSlots > facts.serviceSlots) {
            entry.addError(entry.pointerTo("cold_slots"),
                           "is greater than service_slots, the limit of a warm instance",
                           "give at most service_slots");
        }
    }

    static void refuseKey(object_reader &entry, const char *key, const std::string &kind)
    {
        if (entry.has(key)) {
            entry.addError(entry.pointerTo(key),
                           "has no meaning for an upstream of kind \"" + kind + "\"",
                           "remove it or correct kind");
        }
    }

    void readTeams(object_reader &root)
    {
        root.entries("teams", presence::Optional, nameRule,
                     [this](const std::string &name, object_reader &entry) {
                         team_facts facts = readTeam(name, entry);
                         m_sheet.teams.emplace(name, std::move(facts));
                     });
    }

    team_facts readTeam(const std::string &name, object_reader &entry)
    {
        team_facts facts;
        facts.half = core::half_name(readHalf(entry, "half"));
        entry.real("weight", presence::Optional, weights, facts.weight);
        readTiers(entry, facts);
        entry.text("token_sha256", presence::Required, sha256Rule, facts.tokenSha256);
        entry.reportUnknownKeys();
        if (facts.tokenSha256.empty())
            return facts;
        const auto [other, isNew] = m_teamOfToken.emplace(facts.tokenSha256, name);
        if (!isNew) {
            entry.addError(entry.pointerTo("token_sha256"),
                           "is the token of the team \"" + other->second + "\" too",
                           "give every team a token of its own");
        }
        return facts;
    }

    static void readTiers(object_reader &entry, team_facts &facts)
    {
        const auto tierRule = [](std::string_view text) {
            const bool isTier = text.size() == 1 && text.front() >= '0'
                                && text.front() < static_cast<char>('0' + core::tierCount);
            return isTier ? nullptr : "a tier from \"0\" (the highest) to \"4\"";
        };
        const std::size_t errorsBefore = entry.errorCount();
        entry.entries(
            "tiers", presence::Required, tierRule,
            [&](const std::string &name, object_reader &tier) {
                team_facts::tier_limit limit;
                tier.integer("in_flight", presence::Required, {1, mostInFlight}, limit.inFlight);
                tier.reportUnknownKeys();
                facts.tiers.at(static_cast<std::size_t>(name.front() - '0')) = limit;
            });
        const bool holdsTier = std::any_of(facts.tiers.begin(), facts.tiers.end(),
                                           [](const auto &limit) { return limit.has_value(); });
        if (!holdsTier && entry.errorCount() == errorsBefore) {
            entry.addError(entry.pointerTo("tiers"), "the team holds no tier",
                           "add at least one, for example \"2\": {\"in_flight\": 8}");
        }
    }

    void readPolicy(object_reader &root)
    {
        object_reader entry = root.object("policy", presence::Optional);
        policy_facts &policy = m_sheet.policy;
        entry.word("unconfirmed", presence::Optional, words(unconfirmedWords),
                   policy.whenUnconfirmed);
        entry.integer("small_request_tokens", presence::Optional, {1, mostSmallTokens},
                      policy.smallRequestTokens);
        entry.integer("default_deadline_ms", presence::Optional, {1, longestDeadlineMs},
                      policy.defaultDeadline);
        entry.integer("first_token_target_ms", presence::Optional, {1, longestDeadlineMs},
                      policy.firstTokenTarget);
        entry.integer("token_gap_target_ms", presence::Optional, {1, longestDeadlineMs},
                      policy.tokenGapTarget);
        entry.reportUnknownKeys();
    }

    /** Reads the name of a half that the sheet lists. */
    std::string readHalf(object_reader &entry, std::string_view key)
    {
        std::string name;
        entry.text(key, presence::Required, nameRule, name);
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
    bool m_hasNoGeneration = false;
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
