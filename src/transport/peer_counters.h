#pragma once

#include "wire/peer_message.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <variant>

namespace comfreypass::transport {

/** Messages that a peer transport has sent, received and dropped since its start. */
struct peer_counters
{
    struct traffic
    {
        std::uint64_t messages = 0;
        std::uint64_t bytes = 0;
    };

    static constexpr std::size_t typeCount = std::variant_size_v<wire::peer_message>;

    /** Indexed by the message's type in wire::peer_message. */
    std::array<traffic, typeCount> sent{};
    std::array<traffic, typeCount> received{};

    /** Received messages that are not valid. */
    std::uint64_t malformed = 0;
    std::uint64_t unknownVersion = 0;
    /** Messages of retired incarnations. */
    std::uint64_t pastIncarnation = 0;
    /** Messages dropped because the peer's queue was full or it was not connected in time. */
    std::uint64_t queueFull = 0;
    /** Messages to a node without a known or valid address. */
    std::uint64_t unknownPeer = 0;
    /** Messages that exceed the maximum size. */
    std::uint64_t tooLarge = 0;
    /** Connections refused by the key authenticator. */
    std::uint64_t refusedKeys = 0;
};

} // namespace comfreypass::transport
