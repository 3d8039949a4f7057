#include "dispatch/record_collection.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace comfreypass::dispatch {

namespace {

/** Maximum number of recorded removals; a fleet of the planned size has about 160 per day. */
constexpr std::size_t maxRemovals = 4'096;

} // namespace

record_changes record_collection::write(published_record record)
{
    const record_revision covered = m_revision;
    advance(record.revision);
    return applyWrite(std::move(record), covered);
}

record_changes record_collection::remove(std::string_view key, record_revision revision)
{
    advance(revision);
    return applyRemoval(key, revision);
}

record_changes record_collection::applyWrite(published_record record, record_revision covered)
{
    record_changes changes;
    if (isOutdated(record.revision))
        return changes;
    const auto known = m_records.find(record.key);
    if (known != m_records.end() && known->second.revision >= record.revision)
        return changes;
    if (known == m_records.end() && record.revision <= covered)
        return changes;
    const auto removed = m_removed.find(record.key);
    if (removed != m_removed.end()) {
        if (removed->second >= record.revision)
            return changes;
        m_removed.erase(removed);
    }
    changes.written.push_back(record);
    std::string key = record.key;
    m_records.insert_or_assign(std::move(key), std::move(record));
    return changes;
}

record_changes record_collection::applyRemoval(std::string_view key, record_revision revision)
{
    record_changes changes;
    if (isOutdated(revision))
        return changes;
    const auto known = m_records.find(key);
    if (known != m_records.end() && known->second.revision > revision)
        return changes;
    record_revision &removedAt = m_removed[std::string(key)];
    removedAt = std::max(removedAt, revision);
    if (m_removed.size() > maxRemovals) {
        const auto oldest = std::ranges::min_element(
            m_removed, {}, [](const auto &entry) { return entry.second; });
        m_historyStart = std::max(m_historyStart, oldest->second);
        m_removed.erase(oldest);
    }
    if (known == m_records.end())
        return changes;
    changes.removed.push_back(known->first);
    m_records.erase(known);
    return changes;
}

record_changes record_collection::replaceAll(std::vector<published_record> records,
                                             record_revision revision)
{
    record_changes changes;
    if (isOutdated(revision))
        return changes;
    // A snapshot does not show the removals of records that were unknown here.
    if (revision > m_revision)
        m_historyStart = std::max(m_historyStart, revision);
    if (revision.era > m_revision.era) {
        changes.restored = m_revision != record_revision();
        m_revision = {revision.era, 0};
        std::erase_if(m_removed, [&](const auto &entry) { return entry.second <= revision; });
    }
    const record_revision covered = m_revision;
    std::map<std::string, record_revision, std::less<>> present;
    for (published_record &record : records) {
        present.emplace(record.key, record.revision);
        // A later record does not show the changes between the snapshot and itself.
        advance(std::min(record.revision, revision));
        record_changes written = applyWrite(std::move(record), covered);
        std::ranges::move(written.written, std::back_inserter(changes.written));
    }
    std::vector<std::string> missing;
    for (const auto &[key, record] : m_records) {
        if (record.revision <= revision && !present.contains(key))
            missing.push_back(key);
    }
    for (const std::string &key : missing) {
        record_changes removed = remove(key, revision);
        std::ranges::move(removed.removed, std::back_inserter(changes.removed));
    }
    return changes;
}

record_changes record_collection::merge(difference received, record_revision revision)
{
    record_changes changes;
    if (isOutdated(revision))
        return changes;
    for (published_record &record : received.written) {
        record_changes written = applyWrite(std::move(record), m_revision);
        std::ranges::move(written.written, std::back_inserter(changes.written));
    }
    for (const auto &[key, removedAt] : received.removed) {
        record_changes removed = applyRemoval(key, removedAt);
        std::ranges::move(removed.removed, std::back_inserter(changes.removed));
    }
    advance(revision);
    return changes;
}

record_changes record_collection::writeAfter(record_revision previous, published_record record)
{
    if (m_revision >= previous && previous.era == record.revision.era)
        return write(std::move(record));
    return applyWrite(std::move(record), m_revision);
}

record_changes record_collection::removeAfter(record_revision previous, std::string_view key,
                                              record_revision revision)
{
    if (m_revision >= previous && previous.era == revision.era)
        return remove(key, revision);
    return applyRemoval(key, revision);
}

std::optional<record_collection::difference>
record_collection::changesSince(record_revision revision) const
{
    if (revision.number == 0 || revision < m_historyStart)
        return std::nullopt;
    difference result;
    for (const auto &[key, record] : m_records) {
        if (record.revision > revision)
            result.written.push_back(record);
    }
    for (const auto &[key, removedAt] : m_removed) {
        if (removedAt > revision)
            result.removed.emplace(key, removedAt);
    }
    return result;
}

void record_collection::advance(record_revision revision)
{
    if (revision.era == m_revision.era)
        m_revision = std::max(m_revision, revision);
}

} // namespace comfreypass::dispatch
