#pragma once

#include "core/result.h"
#include "dispatch/fleet_member.h"
#include "dispatch/record_collection.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace comfreypass::gateway {

/** Encodes a status as one datagram. Thread-safe. */
std::string encodeStatus(const dispatch::node_status &status);

/** Error: ParseFailed. Thread-safe. */
core::result<dispatch::node_status> decodeStatus(std::string_view bytes);

/** One collection as a peer sent it. */
struct collection_snapshot
{
    std::uint64_t revision = 0;
    std::vector<dispatch::published_record> records;
};

/** Encodes all records of the collections, in their order. Thread-safe. */
std::string encodeRecords(std::span<const dispatch::record_collection> collections);

/** Error: ParseFailed. Thread-safe. */
core::result<std::vector<collection_snapshot>> decodeRecords(std::string_view bytes);

} // namespace comfreypass::gateway
