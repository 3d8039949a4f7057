#pragma once

#include "wire/peer_message.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <variant>

namespace comfreypass::transport {

/** What a peer transport has sent, received and dropped since its start. */
struct peer_counters
{
    struct traffic
    {
        std::uint64_t messages = 0;
        std::uint64_t bytes = 0;
    };

    static constexpr std::size_t typeCount = std::variant_size_v<wire::peer_message>;

    /** By the index of the message's type in wire::peer_message. */
    std::array<traffic, typeCount> sent{};
    std::array<traffic, typeCount> received{};

    /** Received bytes that are no valid message. */
    std::uint64_t malformed = 0;
    std::uint64_t unknownVersion = 0;
    /** Messages of incarnations that were retired. */
    std::uint64_t pastIncarnation = 0;
    /** Messages to a peer whose queue is full or that could not be connected in time. */
    std::uint64_t queueFull = 0;
    /** Messages to a node without an address. */
    std::uint64_t unknownPeer = 0;
    /** Messages that exceed the maximum size. */
    std::uint64_t tooLarge = 0;
    /** Connections that the key check refused. */
    std::uint64_t refusedKeys = 0;
};

} // namespace comfreypass::transport
