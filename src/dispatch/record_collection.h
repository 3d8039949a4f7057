#pragma once

#include "dispatch/published_record.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace comfreypass::dispatch {

/** What changed in a collection. */
struct record_changes
{
    std::vector<published_record> written;
    std::vector<std::string> removed;

    bool empty() const noexcept { return written.empty() && removed.empty(); }
};

/**
 * The published records of one collection, from the source or from a peer. A record is only ever
 * replaced by a newer one, so it does not matter in which order they arrive. Not thread-safe.
 */
class record_collection
{
public:
    /** Takes one written record. */
    record_changes write(published_record record);

    /** Takes one removal that the source made at `revision`. */
    record_changes remove(std::string_view key, std::uint64_t revision);

    /**
     * Takes all records that existed at `revision`; records that are missing there were removed.
     * A snapshot older than what is known removes nothing that is newer.
     */
    record_changes replaceAll(std::vector<published_record> records, std::uint64_t revision);

    /**
     * Takes one change that a peer read when its collection had `previous`. The revision only grows
     * if nothing is missing between, so that a lost change is noticed.
     */
    record_changes writeAfter(std::uint64_t previous, published_record record);
    record_changes removeAfter(std::uint64_t previous, std::string_view key,
                               std::uint64_t revision);

    /** Records and removals beyond a revision; nothing if removals since then were forgotten. */
    struct difference
    {
        std::vector<published_record> written;
        std::map<std::string, std::uint64_t, std::less<>> removed;
    };
    std::optional<difference> changesSince(std::uint64_t revision) const;

    /** Tells that a snapshot of a peer with this revision was taken. */
    void advance(std::uint64_t revision);

    /** Revision of the newest change that is known. */
    std::uint64_t revision() const noexcept { return m_revision; }

    const std::map<std::string, published_record, std::less<>> &records() const noexcept
    {
        return m_records;
    }

private:
    std::map<std::string, published_record, std::less<>> m_records;
    /** Revisions of recent removals, so that an older record cannot come back from a peer. */
    std::map<std::string, std::uint64_t, std::less<>> m_removed;
    std::uint64_t m_revision = 0;
    /** Removals up to this revision may be forgotten. */
    std::uint64_t m_droppedRemovalRevision = 0;
};

} // namespace comfreypass::dispatch
