#pragma once

#include "core/result.h"
#include "dispatch/fleet_member.h"
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

/** One change of a collection, as a peer read it from the source. */
struct record_update
{
    std::size_t collection = 0;
    /** Revision of the peer's collection before the change. */
    std::uint64_t previous = 0;
    /** For a removal only key and revision are set. */
    dispatch::published_record record;
    bool removed = false;
};

/** What one datagram holds. */
using peer_message = std::variant<dispatch::node_status, record_update, dispatch::engine_update>;

/** Encodes one datagram. Thread-safe. */
std::string encodeStatus(const dispatch::node_status &status);
std::string encodeRecordUpdate(const record_update &update);
std::string encodeEngineUpdate(const dispatch::engine_update &update);

/** Error: ParseFailed. Thread-safe. */
core::result<peer_message> decodeMessage(std::string_view bytes);

/** One collection as a peer sent it. */
struct collection_snapshot
{
    std::uint64_t revision = 0;
    std::vector<dispatch::published_record> records = {};
    std::map<std::string, std::uint64_t, std::less<>> removed = {};
    /** Records that are missing do not exist. */
    bool complete = true;
};

/**
 * Encodes what the collections hold beyond the revisions in `since`, in their order; all of it
 * where the revision is 0 or missing. Thread-safe.
 */
std::string encodeRecords(std::span<const dispatch::record_collection> collections,
                          std::span<const std::uint64_t> since);

/** Error: ParseFailed. Thread-safe. */
core::result<std::vector<collection_snapshot>> decodeRecords(std::string_view bytes);

} // namespace comfreypass::gateway
