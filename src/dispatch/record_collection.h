#pragma once

#include "dispatch/published_record.h"
#include "dispatch/record_revision.h"

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
    /** The source was restored from an older copy, so the changes may lead back to older records.
     */
    bool restored = false;

    bool empty() const noexcept { return written.empty() && removed.empty(); }
};

/**
 * The published records of one collection, received from the source or from a peer. A record is
 * only replaced by one with a later revision, so the order of arrival is irrelevant.
 *
 * Only a snapshot leads into a later era of the source, since the records of the copy that it was
 * restored from are known in no other way. From then on, everything of an older era is ignored. A
 * change of a later era that arrives first is applied without raising the revision. Not
 * thread-safe.
 */
class record_collection
{
public:
    /** Applies a written record. */
    record_changes write(published_record record);

    /** Applies a removal that the source made at `revision`. */
    record_changes remove(std::string_view key, record_revision revision);

    /**
     * Replaces the collection by the records that existed at `revision`; missing records were
     * removed. Records with a later revision than the snapshot stay.
     */
    record_changes replaceAll(std::vector<published_record> records, record_revision revision);

    /** Changes between two revisions. */
    struct difference
    {
        std::vector<published_record> written;
        std::map<std::string, record_revision, std::less<>> removed;
    };

    /**
     * Applies what a peer with the revision `revision` knows beyond this collection. The peer may
     * also know later changes, with gaps between them, so the revision increases to its own only.
     */
    record_changes merge(difference received, record_revision revision);

    /**
     * Applies a change that a peer read when its collection had the revision `previous`. The
     * revision only increases if no change is missing in between, so that a lost change is
     * detected.
     */
    record_changes writeAfter(record_revision previous, published_record record);
    record_changes removeAfter(record_revision previous, std::string_view key,
                               record_revision revision);

    /** Returns the changes after a revision, or nothing if removals since then may be unknown. */
    std::optional<difference> changesSince(record_revision revision) const;

    /** Raises the revision within its era after a snapshot of a peer was applied. */
    void advance(record_revision revision);

    /** Returns the revision of the latest known change. */
    record_revision revision() const noexcept { return m_revision; }

    const std::map<std::string, published_record, std::less<>> &records() const noexcept
    {
        return m_records;
    }

private:
    /** Returns true for a revision of an earlier era, whose history was lost. */
    bool isOutdated(record_revision revision) const noexcept
    {
        return revision.era < m_revision.era;
    }

    /**
     * Apply a change without raising the revision. A record up to `covered` that is unknown has
     * been removed, since all changes up to there were known before.
     */
    record_changes applyWrite(published_record record, record_revision covered);
    record_changes applyRemoval(std::string_view key, record_revision revision);

    std::map<std::string, published_record, std::less<>> m_records;
    /** Revisions of recent removals, so that a peer cannot restore an older record. */
    std::map<std::string, record_revision, std::less<>> m_removed;
    record_revision m_revision;
    /** Removals up to this revision may be unknown: dropped, or made before a snapshot. */
    record_revision m_historyStart;
};

} // namespace comfreypass::dispatch
