#pragma once

#include "dispatch/published_record.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace comfreypass::gateway {

/** Collections of published records; the values are indexes in messages between nodes. */
enum class collection_id : std::uint8_t {
    /** Configuration and evacuations, written by operators. */
    Operators,
    /** Engine entries, written by the engines themselves. */
    Engines,
};

constexpr std::size_t collectionCount = 2;

/** Receives the events of a record_source. */
class record_source_events
{
public:
    record_source_events() = default;
    virtual ~record_source_events() = default;
    record_source_events(const record_source_events &) = delete;
    record_source_events &operator=(const record_source_events &) = delete;

    virtual void onWritten(collection_id collection, dispatch::published_record record) = 0;
    virtual void onRemoved(collection_id collection, std::string_view key,
                           dispatch::record_revision revision)
        = 0;

    /**
     * Delivers all records that existed at `revision`. The first event of an era is a snapshot.
     */
    virtual void onSnapshot(collection_id collection,
                            std::vector<dispatch::published_record> records,
                            dispatch::record_revision revision)
        = 0;

    /** The source became available or unavailable; `detail` is the reason. */
    virtual void onAvailability(collection_id collection, bool available, std::string_view detail)
        = 0;
};

/** Reads and watches published records. Implementations are not thread-safe. */
class record_source
{
public:
    record_source() = default;
    virtual ~record_source() = default;
    record_source(const record_source &) = delete;
    record_source &operator=(const record_source &) = delete;

    /**
     * Starts reading; `events` must outlive the source. `known` holds the newest revision known of
     * each collection, with the number 0 for none.
     */
    virtual void start(record_source_events &events,
                       std::span<const dispatch::record_revision> known)
        = 0;

    /** Stops reading; start() may follow. */
    virtual void stop() = 0;

    /** Reads a collection again over a new connection, since its watch seems to be stalled. */
    virtual void restart(collection_id collection) = 0;

    /**
     * Sets the position of this node among the `count` nodes that read the source. They stagger
     * their watches, so that together they soon detect that the source no longer answers, with
     * longer watches in a larger fleet.
     */
    virtual void setReaderRank(std::size_t index, std::size_t count) = 0;

    /** Returns the number of calls made since the start. */
    virtual std::uint64_t calls() const noexcept = 0;
};

} // namespace comfreypass::gateway
