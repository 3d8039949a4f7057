#include "gateway/catalogue.h"

#include "gateway/source_monitor.h"
#include "http1/endpoint.h"
#include "observe/log_setup.h"

#include <algorithm>
#include <chrono>
#include <tuple>
#include <utility>
#include <variant>

namespace comfreypass::gateway {

using observe::log_level;
using observe::logEvent;

namespace {

using namespace std::chrono_literals;

/** Engines removed longest ago are forgotten beyond this number; about 160 leave per day. */
constexpr std::size_t maxRemovedEngines = 1'024;

/**
 * A restored entry of a removed engine is used if it still exists after this time. The entry of an
 * engine that has left expires sooner.
 */
constexpr core::duration restoredEntryDelay = 10s;

std::string_view toString(record_origin::path path) noexcept
{
    static constexpr std::array<std::string_view, 3> names = {"source", "update", "fetch"};
    return names.at(static_cast<std::size_t>(path));
}

std::string millisecondsText(core::duration time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

} // namespace

catalogue::catalogue(const record_decoder &decoder, dispatch::engine_registry &registry,
                     change_function changed)
    : m_decoder(decoder), m_registry(registry), m_changed(std::move(changed))
{ }

void catalogue::onWritten(collection_id collection, dispatch::published_record record,
                          core::time_point now)
{
    apply(m_collections.at(static_cast<std::size_t>(collection)).write(std::move(record)), {}, now);
}

void catalogue::onRemoved(collection_id collection, std::string_view key,
                          dispatch::record_revision revision, core::time_point now)
{
    apply(m_collections.at(static_cast<std::size_t>(collection)).remove(key, revision), {}, now);
}

void catalogue::onSnapshot(collection_id collection,
                           std::vector<dispatch::published_record> records,
                           dispatch::record_revision revision, core::time_point now)
{
    dispatch::record_collection &target = m_collections.at(static_cast<std::size_t>(collection));
    const dispatch::record_revision before = target.revision();
    const dispatch::record_changes changes = target.replaceAll(std::move(records), revision);
    m_change = fieldsOf({});
    logRestoration(static_cast<std::size_t>(collection), before, changes);
    apply(changes, {}, now);
}

void catalogue::holdRemovalsUntil(core::time_point end)
{
    m_removalsHeldUntil = std::max(m_removalsHeldUntil, end);
}

void catalogue::onPeerUpdate(const record_update &update, std::uint32_t peer, core::time_point now)
{
    if (update.collection >= m_collections.size())
        return;
    dispatch::record_collection &target = m_collections.at(update.collection);
    dispatch::published_record record = update.record;
    // Readers forward changes immediately.
    record.readAt = now;
    apply(update.removed ? target.removeAfter(update.previous, record.key, record.revision)
                         : target.writeAfter(update.previous, record),
          {record_origin::path::Update, peer}, now);
}

void catalogue::onPeerRecords(std::span<const collection_snapshot> snapshots, std::uint32_t peer,
                              core::time_point now)
{
    const record_origin origin{record_origin::path::Fetch, peer};
    for (std::size_t i = 0; i < snapshots.size() && i < m_collections.size(); ++i) {
        const collection_snapshot &snapshot = snapshots[i];
        dispatch::record_collection &target = m_collections.at(i);
        const dispatch::record_revision before = target.revision();
        m_change = fieldsOf(origin);
        for (const dispatch::published_record &record : snapshot.retained) {
            m_change.revision = record.revision.text();
            applyWritten(record, false, now);
        }
        const dispatch::record_changes changes
            = snapshot.complete
                  ? target.replaceAll(snapshot.records, snapshot.revision)
                  : target.merge({snapshot.records, snapshot.removed}, snapshot.revision);
        logRestoration(i, before, changes);
        apply(changes, origin, now);
        target.advance(snapshot.revision);
        if (changes.empty() && !snapshot.retained.empty())
            m_changed();
    }
}

void catalogue::endGracePeriods(core::time_point now)
{
    bool changed = false;
    for (auto each = m_expired.begin(); each != m_expired.end();) {
        if (each->second > now) {
            ++each;
            continue;
        }
        m_change = {};
        rememberRemoved(each->first, now);
        removeEngine(each->first, "engine entry expired");
        each = m_expired.erase(each);
        changed = true;
    }
    for (auto each = m_expiredEvacuations.begin(); each != m_expiredEvacuations.end();) {
        if (each->second > now) {
            ++each;
            continue;
        }
        const std::string domain = each->first;
        each = m_expiredEvacuations.erase(each);
        endEvacuation(domain, now);
        changed = true;
    }
    for (auto each = m_deferredEntries.begin(); each != m_deferredEntries.end();) {
        if (each->second.usedFrom > now) {
            ++each;
            continue;
        }
        const dispatch::engine_entry entry = std::move(each->second.entry);
        each = m_deferredEntries.erase(each);
        m_change = {};
        applyEngine(entry, now);
        changed = true;
    }
    if (changed)
        m_changed();
}

std::vector<dispatch::record_revision> catalogue::revisions() const
{
    std::vector<dispatch::record_revision> result;
    for (const dispatch::record_collection &each : m_collections)
        result.push_back(each.revision());
    return result;
}

catalogue::change_fields catalogue::fieldsOf(const record_origin &origin)
{
    return {.via = std::string(toString(origin.via)),
            .peer = origin.peer == 0 ? "" : http1::addressText(origin.peer),
            .revision = "",
            .ageMs = ""};
}

void catalogue::apply(const dispatch::record_changes &changes, const record_origin &origin,
                      core::time_point now)
{
    if (changes.empty())
        return;
    m_change = fieldsOf(origin);
    for (const dispatch::published_record &record : changes.written) {
        m_change.revision = record.revision.text();
        m_change.ageMs
            = record.readAt == core::time_point{} ? "" : millisecondsText(now - record.readAt);
        applyWritten(record, changes.restored, now);
    }
    for (const std::string &key : changes.removed)
        applyRemoved(key, changes.restored, now);
    m_changed();
}

void catalogue::applyWritten(const dispatch::published_record &record, bool restored,
                             core::time_point now)
{
    core::result<record_content> content = m_decoder.decode(record);
    if (!content) {
        logEvent(log_level::Warning, "record_unreadable", "ignored an invalid published record",
                 {{"key", record.key},
                  {"revision", record.revision.text()},
                  {"detail", describe(content.error())}});
        // Another writer may have overwritten the entry, so the engine must not be used.
        if (const std::string id(m_decoder.engineOfKey(record.key)); !id.empty()) {
            m_expired.erase(id);
            m_deferredEntries.erase(id);
            removeEngine(id, "engine entry is invalid");
        }
        return;
    }
    if (auto *settings = std::get_if<dispatch::configuration>(&content.value()))
        applyConfiguration(std::move(*settings), record);
    else if (const auto *entry = std::get_if<dispatch::engine_entry>(&content.value())) {
        m_expired.erase(entry->id);
        m_deferredEntries.erase(entry->id);
        if (!restored || !isOutdated(*entry, now))
            applyEngine(*entry, now);
    } else if (const auto *domain = std::get_if<evacuated_domain>(&content.value())) {
        m_expiredEvacuations.erase(domain->name);
        m_registry.setEvacuated(domain->name, true, now);
        logEvent(log_level::Info, "domain_evacuated",
                 "stopped sending requests to engines of the failure domain",
                 {{"domain", domain->name}, {"revision", record.revision.text()}});
    }
}

void catalogue::applyRemoved(const std::string &key, bool restored, core::time_point now)
{
    const core::time_point rewrittenBy = now + source_monitor::expiredEntryRetention;
    if (const std::string_view domain = m_decoder.evacuatedDomainOfKey(key); !domain.empty()) {
        if (restored)
            m_expiredEvacuations.try_emplace(std::string(domain), rewrittenBy);
        else
            endEvacuation(domain, now);
    }
    const std::string_view id = m_decoder.engineOfKey(key);
    if (id.empty())
        return;
    m_deferredEntries.erase(std::string(id));
    const core::time_point heldUntil
        = restored ? std::max(rewrittenBy, m_removalsHeldUntil) : m_removalsHeldUntil;
    if (heldUntil > now) {
        m_expired.try_emplace(std::string(id), heldUntil);
        logEvent(log_level::Info, "engine_removal_held",
                 restored ? "keeping an engine that the restored source lacks"
                          : "keeping an engine whose entry may only have expired during an outage",
                 {{"engine", id},
                  {"held_ms", millisecondsText(heldUntil - now)},
                  {"via", m_change.via},
                  {"peer", m_change.peer}});
        return;
    }
    rememberRemoved(id, now);
    removeEngine(id, "engine entry was removed");
}

void catalogue::endEvacuation(std::string_view domain, core::time_point now)
{
    m_expiredEvacuations.erase(std::string(domain));
    m_registry.setEvacuated(domain, false, now);
    logEvent(log_level::Info, "domain_restored", "failure domain is back in service",
             {{"domain", domain}});
}

const dispatch::published_record *catalogue::retainedConfiguration() const
{
    if (!m_routes)
        return nullptr;
    const auto &records
        = m_collections.at(static_cast<std::size_t>(collection_id::Operators)).records();
    const auto current = records.find(m_activeRecord.key);
    const bool isCurrent
        = current != records.end() && current->second.value == m_activeRecord.value;
    return isCurrent ? nullptr : &m_activeRecord;
}

void catalogue::applyConfiguration(dispatch::configuration settings,
                                   const dispatch::published_record &record)
{
    if (configurationVersion() > settings.version)
        logEvent(log_level::Warning, "configuration_outdated",
                 "ignored a configuration that is older than the one in force",
                 {{"version", std::to_string(settings.version)},
                  {"in_force", std::to_string(configurationVersion())},
                  {"revision", record.revision.text()},
                  {"via", m_change.via},
                  {"peer", m_change.peer}});
    if (m_routes && m_routes->settings().version >= settings.version)
        return;
    m_activeRecord = record;
    logEvent(log_level::Info, "configuration_applied", "applied a new configuration",
             {{"version", std::to_string(settings.version)},
              {"before", std::to_string(m_routes ? m_routes->settings().version : 0)},
              {"routes", std::to_string(settings.routes.size())},
              {"teams", std::to_string(settings.teams.size())},
              {"revision", m_change.revision},
              {"via", m_change.via},
              {"peer", m_change.peer},
              {"age_ms", m_change.ageMs}});
    m_routes = std::make_shared<const dispatch::routing_index>(std::move(settings));
    for (const dispatch::upstream_settings &each : m_routes->settings().upstreams)
        m_registry.updateSettings(each.name, each);
}

bool catalogue::isOutdated(const dispatch::engine_entry &entry, core::time_point now)
{
    const auto saysNothingNew = [&entry](const dispatch::engine_entry &last) {
        return std::tie(entry.startedAt, entry.sequence) <= std::tie(last.startedAt, last.sequence);
    };
    if (const dispatch::engine_entry *known = m_registry.find(entry.id))
        return saysNothingNew(*known);
    const auto removed = m_removedEngines.find(entry.id);
    if (removed == m_removedEngines.end() || !saysNothingNew(removed->second.entry))
        return false;
    m_deferredEntries.insert_or_assign(entry.id, deferred_entry{entry, now + restoredEntryDelay});
    logEvent(log_level::Info, "engine_restored",
             "the restored source lists an engine that was removed; not used for now",
             {{"engine", entry.id},
              {"held_ms", millisecondsText(restoredEntryDelay)},
              {"via", m_change.via},
              {"peer", m_change.peer}});
    return true;
}

void catalogue::applyEngine(const dispatch::engine_entry &entry, core::time_point now)
{
    m_removedEngines.erase(entry.id);
    const dispatch::engine_entry *before = m_registry.find(entry.id);
    if (before == nullptr || before->draining != entry.draining
        || before->startedAt != entry.startedAt)
        logEvent(log_level::Info, before == nullptr ? "engine_added" : "engine_changed",
                 "engine entry was written",
                 {{"engine", entry.id},
                  {"upstream", entry.upstream},
                  {"address", entry.address},
                  {"domain", entry.domain},
                  {"draining", entry.draining ? "true" : "false"},
                  {"cold_ms", std::to_string(entry.coldRemaining.count() / 1'000)},
                  {"revision", m_change.revision},
                  {"via", m_change.via},
                  {"peer", m_change.peer},
                  {"age_ms", m_change.ageMs}});
    m_registry.update(entry, m_routes ? m_routes->upstream(entry.upstream) : nullptr, now);
}

void catalogue::logRestoration(std::size_t collection, dispatch::record_revision before,
                               const dispatch::record_changes &changes)
{
    if (!changes.restored)
        return;
    const bool engines = static_cast<collection_id>(collection) == collection_id::Engines;
    logEvent(log_level::Warning, "records_restored",
             "the source was restored from an older copy and has lost changes",
             {{"collection", engines ? "engines" : "operators"},
              {"before", before.text()},
              {"revision", m_collections.at(collection).revision().text()},
              {"written", std::to_string(changes.written.size())},
              {"removed", std::to_string(changes.removed.size())},
              {"via", m_change.via},
              {"peer", m_change.peer}});
}

void catalogue::rememberRemoved(std::string_view id, core::time_point now)
{
    const dispatch::engine_entry *entry = m_registry.find(id);
    if (entry == nullptr)
        return;
    m_removedEngines.insert_or_assign(entry->id, removed_engine{*entry, now});
    if (m_removedEngines.size() > maxRemovedEngines)
        m_removedEngines.erase(std::ranges::min_element(
            m_removedEngines, {}, [](const auto &each) { return each.second.at; }));
}

void catalogue::removeEngine(std::string_view id, std::string_view why)
{
    if (m_registry.find(id) == nullptr)
        return;
    logEvent(log_level::Info, "engine_removed", why,
             {{"engine", id}, {"via", m_change.via}, {"peer", m_change.peer}});
    m_registry.remove(id);
}

} // namespace comfreypass::gateway
