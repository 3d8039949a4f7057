#pragma once

#include <cstddef>
#include <cstdint>

namespace comfreypass::wire {

/** Bytes of a name of any kind. */
constexpr std::size_t maxNameBytes = 128;
/** Members in one ping, ack or view_sync: about 300 members of 200 bytes fill a message. */
constexpr std::size_t maxMembersPerMessage = 256;
/** Ramp states in one poll or vote, enough for the 600 engines of the planned size. */
constexpr std::size_t maxRampsPerMessage = 1'024;
/** Running dispatches in one vote: a node runs at most 1,024. */
constexpr std::size_t maxDispatchesPerMessage = 1'024;
/** Bytes of an encoded message. */
constexpr std::size_t maxMessageBytes = 65'536;
constexpr std::size_t maxPrefixHashes = 256;
constexpr std::size_t maxPatchBytes = 60'000;
constexpr std::size_t maxChunkBytes = 16'384;
/** Longest remaining time; a greater one is a fault of the sender. */
constexpr std::uint32_t maxRemainingMs = 86'400'000;
/** Longest lease; a voter is bound for this time. */
constexpr std::uint32_t maxLeaseMs = 60'000;

} // namespace comfreypass::wire
