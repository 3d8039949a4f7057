#pragma once

#include "core/time_point.h"
#include "dispatch/engine_registry.h"
#include "dispatch/record_collection.h"
#include "dispatch/routing_index.h"
#include "gateway/record_decoder.h"
#include "gateway/record_source.h"
#include "gateway/status_codec.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace comfreypass::gateway {

/** How a change of a record reached this node. */
struct record_origin
{
    enum class path : std::uint8_t {
        /** Read from the source by this node. */
        Source,
        /** Forwarded by the peer that read it. */
        Update,
        /** Fetched from a peer. */
        Fetch,
    };

    path via = path::Source;
    /** The peer that sent the change; 0 if this node read it. */
    std::uint32_t peer = 0;
};

/**
 * Merges published records from the source and from peers, and derives the active configuration,
 * the engines and the evacuated failure domains from them.
 *
 * The configuration version never decreases. An engine whose entry vanishes during an outage of the
 * source, or shortly after, is kept for a grace period: entries expire during an outage and are
 * written again after it.
 *
 * If the source is restored from an older copy, engines and evacuations that the copy lacks are
 * kept for this period, too, since they are written again. What the copy says of an engine counts
 * only if it is newer than the last known entry. Not thread-safe.
 */
class catalogue
{
public:
    /** Called after a change that may allow queued requests to start. */
    using change_function = std::function<void()>;

    /** Decoder and registry must outlive the catalogue. */
    catalogue(const record_decoder &decoder, dispatch::engine_registry &registry,
              change_function changed);

    void onWritten(collection_id collection, dispatch::published_record record,
                   core::time_point now);
    void onRemoved(collection_id collection, std::string_view key,
                   dispatch::record_revision revision, core::time_point now);
    void onSnapshot(collection_id collection, std::vector<dispatch::published_record> records,
                    dispatch::record_revision revision, core::time_point now);

    /**
     * Keeps engines whose entries vanish before `end` until then, since the entries may only have
     * expired. The end never moves back.
     */
    void holdRemovalsUntil(core::time_point end);

    /** Applies a change that a peer read from the source. */
    void onPeerUpdate(const record_update &update, std::uint32_t peer, core::time_point now);

    /** Merges the records of a peer; what is in force there is applied first. */
    void onPeerRecords(std::span<const collection_snapshot> snapshots, std::uint32_t peer,
                       core::time_point now);

    /**
     * Ends the grace periods: removes engines and evacuations that were not written again in time,
     * and uses engines that were removed before the source was restored and still have an entry.
     */
    void endGracePeriods(core::time_point now);

    /** Returns the version of the active configuration; 0 while none is known. */
    std::uint64_t configurationVersion() const noexcept
    {
        return m_routes ? m_routes->settings().version : 0;
    }

    /**
     * Returns the record of the active configuration if the collections hold another one or none;
     * null otherwise. Peers get it together with the collections. Valid until the next change.
     */
    const dispatch::published_record *retainedConfiguration() const;

    /** Returns the active configuration; null while none is known. */
    const std::shared_ptr<const dispatch::routing_index> &routes() const noexcept
    {
        return m_routes;
    }

    std::span<const dispatch::record_collection> collections() const noexcept
    {
        return m_collections;
    }

    /** Returns the newest revision of each collection. */
    std::vector<dispatch::record_revision> revisions() const;

private:
    /** Describes the change that is being applied, as fields of log lines. */
    struct change_fields
    {
        std::string via;
        std::string peer;
        std::string revision;
        /** Time since a node read the record from the source; empty if unknown. */
        std::string ageMs;
    };

    /** A removed engine, so that an older entry of it is recognized. */
    struct removed_engine
    {
        dispatch::engine_entry entry;
        core::time_point at{};
    };

    void apply(const dispatch::record_changes &changes, const record_origin &origin,
               core::time_point now);
    static change_fields fieldsOf(const record_origin &origin);
    /** `restored` if the record comes with a restored copy of the source. */
    void applyWritten(const dispatch::published_record &record, bool restored,
                      core::time_point now);
    void applyRemoved(const std::string &key, bool restored, core::time_point now);
    void applyConfiguration(dispatch::configuration settings,
                            const dispatch::published_record &record);
    void applyEngine(const dispatch::engine_entry &entry, core::time_point now);
    /** Returns true if a restored entry says nothing that is newer than what is known. */
    bool isOutdated(const dispatch::engine_entry &entry, core::time_point now);
    void endEvacuation(std::string_view domain, core::time_point now);
    void rememberRemoved(std::string_view id, core::time_point now);
    void removeEngine(std::string_view id, std::string_view why);
    void logRestoration(std::size_t collection, dispatch::record_revision before,
                        const dispatch::record_changes &changes);

    const record_decoder &m_decoder;
    dispatch::engine_registry &m_registry;
    change_function m_changed;
    change_fields m_change;
    std::array<dispatch::record_collection, collectionCount> m_collections;
    std::shared_ptr<const dispatch::routing_index> m_routes;
    /** Record of the active configuration. */
    dispatch::published_record m_activeRecord;
    core::time_point m_removalsHeldUntil{};
    /** Engines whose entries vanished, with the time at which they are removed. */
    std::map<std::string, core::time_point, std::less<>> m_expired;
    /** Evacuated domains that the restored source lacks, with the time at which they are restored.
     */
    std::map<std::string, core::time_point, std::less<>> m_expiredEvacuations;
    /** Engines removed last, up to a maximum number. */
    std::map<std::string, removed_engine, std::less<>> m_removedEngines;

    /** An entry of a removed engine that was restored. */
    struct deferred_entry
    {
        dispatch::engine_entry entry;
        core::time_point usedFrom{};
    };
    std::map<std::string, deferred_entry, std::less<>> m_deferredEntries;
};

} // namespace comfreypass::gateway
