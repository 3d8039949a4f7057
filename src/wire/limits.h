#pragma once

#include <cstddef>
#include <cstdint>

namespace comfreypass::wire {

/** Maximum length of a name of any kind. */
constexpr std::size_t maxNameBytes = 128;
/** Maximum members in one ping, ack or view_sync; about 300 members of 200 bytes fill a message. */
constexpr std::size_t maxMembersPerMessage = 256;
/** Maximum ramp states in one poll or vote, enough for the planned fleet size of 600 engines. */
constexpr std::size_t maxRampsPerMessage = 1'024;
/** Maximum running dispatches in one vote; a node runs at most 1,024 dispatches. */
constexpr std::size_t maxDispatchesPerMessage = 1'024;
/** Maximum size of an encoded message. */
constexpr std::size_t maxMessageBytes = 65'536;
constexpr std::size_t maxPrefixHashes = 256;
constexpr std::size_t maxPatchBytes = 60'000;
constexpr std::size_t maxChunkBytes = 16'384;
/** Maximum remaining time; a greater value indicates a fault of the sender. */
constexpr std::uint32_t maxRemainingMs = 86'400'000;
/** Maximum lease duration, during which a voter is bound by its vote. */
constexpr std::uint32_t maxLeaseMs = 60'000;

} // namespace comfreypass::wire
