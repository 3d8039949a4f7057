#pragma once

#include "dispatch/published_record.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace comfreypass::dispatch {

/** Changes of a collection. */
struct record_changes
{
    std::vector<published_record> written;
    std::vector<std::string> removed;

    bool empty() const noexcept { return written.empty() && removed.empty(); }
};

/**
 * The published records of one collection, received from the source or from a peer. A record is
 * only replaced by one with a later revision, so the order of arrival is irrelevant. Not
 * thread-safe.
 */
class record_collection
{
public:
    /** Applies a written record. */
    record_changes write(published_record record);

    /** Applies a removal that the source made at `revision`. */
    record_changes remove(std::string_view key, std::uint64_t revision);

    /**
     * Replaces the collection by the records that existed at `revision`; missing records were
     * removed. Records with a later revision than the snapshot stay.
     */
    record_changes replaceAll(std::vector<published_record> records, std::uint64_t revision);

    /** Changes between two revisions. */
    struct difference
    {
        std::vector<published_record> written;
        std::map<std::string, std::uint64_t, std::less<>> removed;
    };

    /**
     * Applies what a peer with the revision `revision` knows beyond this collection. The peer may
     * also know later changes, with gaps between them, so the revision increases to its own only.
     */
    record_changes merge(difference received, std::uint64_t revision);

    /**
     * Applies a change that a peer read when its collection had the revision `previous`. The
     * revision only increases if no change is missing in between, so that a lost change is
     * detected.
     */
    record_changes writeAfter(std::uint64_t previous, published_record record);
    record_changes removeAfter(std::uint64_t previous, std::string_view key,
                               std::uint64_t revision);

    /** Returns the changes after a revision, or nothing if removals since then may be unknown. */
    std::optional<difference> changesSince(std::uint64_t revision) const;

    /** Raises the revision after a snapshot of a peer was applied. */
    void advance(std::uint64_t revision);

    /** Returns the revision of the latest known change. */
    std::uint64_t revision() const noexcept { return m_revision; }

    const std::map<std::string, published_record, std::less<>> &records() const noexcept
    {
        return m_records;
    }

private:
    /** Apply a change without raising the revision. */
    record_changes applyWrite(published_record record);
    record_changes applyRemoval(std::string_view key, std::uint64_t revision);

    std::map<std::string, published_record, std::less<>> m_records;
    /** Revisions of recent removals, so that a peer cannot restore an older record. */
    std::map<std::string, std::uint64_t, std::less<>> m_removed;
    std::uint64_t m_revision = 0;
    /** Removals up to this revision may be unknown: dropped, or made before a snapshot. */
    std::uint64_t m_historyStart = 0;
};

} // namespace comfreypass::dispatch
