#pragma once

#include "core/incarnation.h"
#include "core/name.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace comfreypass::membership {

enum class member_state : std::uint8_t { Alive, Suspect, Dead, Leaving };

/** Returns the stable lower-case name of a state. Thread-safe. */
std::string_view toString(member_state state) noexcept;

/** Membership record of a node, as stored in a view and gossiped between nodes. */
struct member
{
    core::node_identity identity;
    member_state state = member_state::Alive;
    /** Version of the state within an incarnation. Only the member itself raises it, to refute a
     * suspicion or to leave. */
    std::uint32_t stateVersion = 0;
    /** ip:port of the socket for peer connections. */
    std::string peerAddress;
    /** ip:port of the socket for callers. */
    std::string callerAddress;
    core::domain_name domain;
    /** Latest known witness epoch of the member. */
    std::uint64_t witnessEpoch = 0;

    bool operator==(const member &) const = default;
};

} // namespace comfreypass::membership
