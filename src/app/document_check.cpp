#include "app/document_check.h"

#include "app/text_file.h"
#include "dispatch/configuration_check.h"
#include "gateway/node_settings.h"
#include "platform/platform_records.h"
#include "sheet/parse_json.h"
#include "sheet/parse_settings.h"
#include "sheet/parse_sheet.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <map>
#include <set>
#include <utility>

namespace comfreypass::app {

namespace {

/** Detects the kind of a document by keys that only one kind has. */
document_kind detectKind(const boost::json::value &document)
{
    const boost::json::object *object = document.if_object();
    if (object == nullptr)
        return document_kind::Auto;
    const auto count = [&](const auto &keys) {
        return std::count_if(keys.begin(), keys.end(),
                             [&](const char *key) { return object->contains(key); });
    };
    constexpr std::array sheetKeys
        = {"revision", "fleet", "halves", "failure_domains", "upstreams", "teams"};
    constexpr std::array settingsKeys
        = {"name", "failure_domain", "listen", "peers", "timing", "instance_list"};
    const auto sheetCount = count(sheetKeys);
    const auto settingsCount = count(settingsKeys);
    if (sheetCount == settingsCount)
        return document_kind::Auto;
    return sheetCount > settingsCount ? document_kind::Sheet : document_kind::Settings;
}

void checkSheet(document_check &check, std::string_view text)
{
    auto parsed = sheet::parseSheet(text);
    if (parsed)
        check.asSheet = std::move(parsed).value();
    else
        check.errors = std::move(parsed).error();
}

void checkSettings(document_check &check, std::string_view text)
{
    auto parsed = sheet::parseSettings(text);
    if (!parsed) {
        check.errors = std::move(parsed).error();
        return;
    }
    check.warnings = std::move(parsed.value().warnings);
    check.asSettings = std::move(parsed.value().value);
}

void checkGatewaySettings(document_check &check, std::string_view text)
{
    if (auto parsed = gateway::parseNodeSettings(text); !parsed)
        check.errors = std::move(parsed).error();
}

void checkConfiguration(document_check &check, std::string_view text)
{
    const auto read = platform::platform_records::readConfiguration(text);
    if (!read)
        check.errors.push_back(read.error());
    else
        check.warnings = dispatch::findContradictions(read.value());
}

/** Reports values that several settings files have in common. */
class uniqueness_check
{
public:
    void check(document_check &document, const char *where, const std::string &value)
    {
        const auto [other, isNew] = m_firstPathByValue.emplace(value, document.path);
        if (isNew)
            return;
        document.errors.push_back({core::errc::Conflict, where,
                                   "\"" + value + "\" is used by " + other->second + " too",
                                   "use a unique value for each node"});
    }

private:
    std::map<std::string, std::string> m_firstPathByValue;
};

} // namespace

std::string_view toString(document_kind kind) noexcept
{
    static constexpr std::array<std::string_view, 5> names
        = {"document", "sheet", "settings", "gateway settings", "configuration"};
    return names.at(static_cast<std::size_t>(kind));
}

document_check checkDocument(const std::string &path, document_kind kind)
{
    document_check check;
    check.path = path;
    check.kind = kind;
    const auto text = readTextFile(path, sheet::maxSheetBytes);
    if (!text) {
        check.errors.push_back(text.error());
        check.errors.back().where.clear(); // The path is shown in the heading.
        return check;
    }
    if (kind == document_kind::Auto) {
        auto document = sheet::parseJson(text.value(), sheet::maxSheetBytes);
        if (!document) {
            check.errors = std::move(document).error();
            return check;
        }
        check.kind = detectKind(document.value());
    }
    static constexpr std::array<void (*)(document_check &, std::string_view), 5> checks
        = {nullptr, &checkSheet, &checkSettings, &checkGatewaySettings, &checkConfiguration};
    if (const auto function = checks.at(static_cast<std::size_t>(check.kind)))
        function(check, text.value());
    else
        check.errors.push_back({core::errc::ParseFailed,
                                {},
                                "the document is neither a sheet nor a settings file",
                                "specify its kind with --kind"});
    return check;
}

void checkTogether(std::vector<document_check> &documents)
{
    std::string sheetPaths;
    std::set<core::domain_name> domains;
    for (const document_check &each : documents) {
        if (!each.asSheet)
            continue;
        sheetPaths += (sheetPaths.empty() ? "" : " or ") + each.path;
        for (const auto &[name, spec] : each.asSheet->domains)
            domains.insert(name);
    }

    uniqueness_check names;
    uniqueness_check addresses;
    for (document_check &each : documents) {
        if (!each.asSettings)
            continue;
        const sheet::settings &value = *each.asSettings;
        names.check(each, "/name", value.name.text());
        addresses.check(each, "/listen/callers", value.listen.callers);
        addresses.check(each, "/listen/peers", value.listen.peers);
        addresses.check(each, "/listen/operators", value.listen.operators);
        if (!sheetPaths.empty() && !domains.contains(value.failureDomain)) {
            each.errors.push_back({core::errc::NotFound, "/failure_domain",
                                   "\"" + value.failureDomain.text() + "\" is not in " + sheetPaths,
                                   "use one of its failure_domains or add this one"});
        }
    }
}

} // namespace comfreypass::app
