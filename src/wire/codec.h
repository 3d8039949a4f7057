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

/** Version of the messages between nodes; others are refused. */
constexpr std::uint32_t protocolVersion = 1;

/** A decoded message with its sender. */
struct received_message
{
    core::node_identity sender;
    peer_message body;
};

/**
 * Encodes a message for the wire. Absolute deadlines become remaining times at `now`. Thread-safe.
 */
std::string encode(const core::node_identity &sender, const peer_message &message,
                   core::time_point now);

/**
 * Decodes a message. Remaining times become deadlines counted from `now`. Thread-safe.
 *
 * Errors: ParseFailed for bytes that are no envelope, Refused for an unknown protocol version,
 * InvalidArgument for an enumeration value, an address or a size outside its range.
 */
core::result<received_message> decode(std::span<const std::byte> bytes, core::time_point now);

} // namespace comfreypass::wire
