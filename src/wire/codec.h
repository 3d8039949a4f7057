#pragma once

#include "core/incarnation.h"
#include "core/result.h"
#include "core/time_point.h"
#include "wire/peer_message.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>

namespace comfreypass::wire {

/** Protocol version of the messages between nodes; other versions are rejected. */
constexpr std::uint32_t protocolVersion = 1;

/** Decoded message with its sender. */
struct received_message
{
    core::node_identity sender;
    peer_message body;
};

/**
 * Encodes a message. Absolute deadlines become remaining times at `now`. Thread-safe.
 */
std::string encode(const core::node_identity &sender, const peer_message &message,
                   core::time_point now);

/**
 * Decodes a message. Remaining times become deadlines counted from `now`. Thread-safe.
 *
 * Errors: ParseFailed for bytes that are not an envelope, Refused for an unknown protocol version,
 * InvalidArgument for a missing body, an oversized message, or a name, address, enumeration value,
 * duration or size that is out of range.
 */
core::result<received_message> decode(std::span<const std::byte> bytes, core::time_point now);

} // namespace comfreypass::wire
