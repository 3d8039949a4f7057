#include "gateway/catalogue.h"

#include "http1/endpoint.h"
#include "observe/log_setup.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

namespace comfreypass::gateway {

using observe::log_level;
using observe::logEvent;

namespace {

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
    apply(m_collections.at(static_cast<std::size_t>(collection))
              .replaceAll(std::move(records), revision),
          {}, now);
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
        if (snapshot.complete)
            apply(target.replaceAll(snapshot.records, snapshot.revision), origin, now);
        else
            apply(target.merge({snapshot.records, snapshot.removed}, snapshot.revision), origin,
                  now);
        target.advance(snapshot.revision);
    }
}

void catalogue::removeExpiredEngines(core::time_point now)
{
    bool removed = false;
    for (auto each = m_expired.begin(); each != m_expired.end();) {
        if (each->second > now) {
            ++each;
            continue;
        }
        m_change = {};
        removeEngine(each->first, "engine entry expired");
        each = m_expired.erase(each);
        removed = true;
    }
    if (removed)
        m_changed();
}

std::vector<dispatch::record_revision> catalogue::revisions() const
{
    std::vector<dispatch::record_revision> result;
    for (const dispatch::record_collection &each : m_collections)
        result.push_back(each.revision());
    return result;
}

void catalogue::apply(const dispatch::record_changes &changes, const record_origin &origin,
                      core::time_point now)
{
    if (changes.empty())
        return;
    m_change = {.via = std::string(toString(origin.via)),
                .peer = origin.peer == 0 ? "" : http1::addressText(origin.peer),
                .revision = "",
                .ageMs = ""};
    for (const dispatch::published_record &record : changes.written) {
        m_change.revision = record.revision.text();
        m_change.ageMs
            = record.readAt == core::time_point{} ? "" : millisecondsText(now - record.readAt);
        applyWritten(record, now);
    }
    for (const std::string &key : changes.removed)
        applyRemoved(key, now);
    m_changed();
}

void catalogue::applyWritten(const dispatch::published_record &record, core::time_point now)
{
    core::result<record_content> content = m_decoder.decode(record);
    if (!content) {
        logEvent(log_level::Warning, "record_unreadable", "ignored an invalid published record",
                 {{"key", record.key},
                  {"revision", record.revision.text()},
                  {"detail", describe(content.error())}});
        // Another writer may have overwritten the entry, so the engine must not be used.
        if (const std::string_view id = m_decoder.engineOfKey(record.key); !id.empty())
            removeEngine(id, "engine entry is invalid");
        return;
    }
    if (auto *settings = std::get_if<dispatch::configuration>(&content.value()))
        applyConfiguration(std::move(*settings));
    else if (const auto *entry = std::get_if<dispatch::engine_entry>(&content.value()))
        applyEngine(*entry, now);
    else if (const auto *domain = std::get_if<evacuated_domain>(&content.value())) {
        m_registry.setEvacuated(domain->name, true, now);
        logEvent(log_level::Info, "domain_evacuated",
                 "stopped sending requests to engines of the failure domain",
                 {{"domain", domain->name}, {"revision", record.revision.text()}});
    }
}

void catalogue::applyRemoved(const std::string &key, core::time_point now)
{
    if (const std::string_view domain = m_decoder.evacuatedDomainOfKey(key); !domain.empty()) {
        m_registry.setEvacuated(domain, false, now);
        logEvent(log_level::Info, "domain_restored", "failure domain is back in service",
                 {{"domain", domain}});
    }
    const std::string_view id = m_decoder.engineOfKey(key);
    if (id.empty())
        return;
    if (m_removalsHeldUntil > now) {
        m_expired.try_emplace(std::string(id), m_removalsHeldUntil);
        logEvent(log_level::Info, "engine_removal_held",
                 "keeping an engine whose entry may only have expired during an outage",
                 {{"engine", id},
                  {"held_ms", millisecondsText(m_removalsHeldUntil - now)},
                  {"via", m_change.via},
                  {"peer", m_change.peer}});
        return;
    }
    removeEngine(id, "engine entry was removed");
}

void catalogue::applyConfiguration(dispatch::configuration settings)
{
    if (m_routes && m_routes->settings().version >= settings.version)
        return;
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

void catalogue::applyEngine(const dispatch::engine_entry &entry, core::time_point now)
{
    m_expired.erase(entry.id);
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

void catalogue::removeEngine(std::string_view id, std::string_view why)
{
    if (m_registry.find(id) == nullptr)
        return;
    logEvent(log_level::Info, "engine_removed", why,
             {{"engine", id}, {"via", m_change.via}, {"peer", m_change.peer}});
    m_registry.remove(id);
}

} // namespace comfreypass::gateway
