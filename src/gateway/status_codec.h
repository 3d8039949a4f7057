#pragma once

#include "core/result.h"
#include "core/time_point.h"
#include "dispatch/fleet_member.h"
#include "dispatch/quarantine_report.h"
#include "dispatch/record_collection.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace comfreypass::gateway {

/** A change of a collection, as read from the source by a peer. */
struct record_update
{
    std::size_t collection = 0;
    /** Revision of the sender's collection before the change. */
    dispatch::record_revision previous = {};
    /** For a removal, only key and revision are set. */
    dispatch::published_record record;
    bool removed = false;
};

/** What a peer knows about requests that may crash engines. */
struct peer_quarantine_report
{
    std::uint32_t address = 0;
    dispatch::quarantine_report report = {};
};

/** Content of a datagram. */
using peer_message = std::variant<dispatch::node_status, record_update, dispatch::engine_update,
                                  peer_quarantine_report>;

/** Encodes one datagram. Thread-safe. */
std::string encodeStatus(const dispatch::node_status &status);
std::string encodeRecordUpdate(const record_update &update);
std::string encodeEngineUpdate(const dispatch::engine_update &update);
std::string encodeQuarantineReport(const peer_quarantine_report &report);

/** Error: ParseFailed. Thread-safe. */
core::result<peer_message> decodeMessage(std::string_view bytes);

/** A collection as sent by a peer. */
struct collection_snapshot
{
    dispatch::record_revision revision = {};
    std::vector<dispatch::published_record> records = {};
    std::map<std::string, dispatch::record_revision, std::less<>> removed = {};
    /** Records that stay in force although the collection holds others, or none. */
    std::vector<dispatch::published_record> retained = {};
    /** True if the snapshot contains all records, so that missing ones do not exist. */
    bool complete = true;
};

/**
 * Encodes the changes of each collection after the revision at the same index of `since`, or all
 * records where that revision is 0, missing, too old or of an earlier era. `retained` is a
 * configuration that stays in force although the operators' collection holds another one; null if
 * there is none. Thread-safe.
 */
std::string encodeRecords(std::span<const dispatch::record_collection> collections,
                          std::span<const dispatch::record_revision> since, core::time_point now,
                          const dispatch::published_record *retained = nullptr);

/** `now` dates the ages of the records. Error: ParseFailed. Thread-safe. */
core::result<std::vector<collection_snapshot>> decodeRecords(std::string_view bytes,
                                                             core::time_point now);

} // namespace comfreypass::gateway
