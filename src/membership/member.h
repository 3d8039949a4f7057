#pragma once

#include "core/incarnation.h"
#include "core/name.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace comfreypass::membership {

enum class member_state : std::uint8_t { Alive, Suspect, Dead, Leaving };

/** Stable lower-case word for a state. Thread-safe. */
std::string_view toString(member_state state) noexcept;

/** What one node knows of another (or of itself); also the update that spreads between nodes. */
struct member
{
    core::node_identity identity;
    member_state state = member_state::Alive;
    /** Grows with each change of state within an incarnation; only the member itself refutes a
     * suspicion. */
    std::uint32_t stateVersion = 0;
    /** ip:port of the socket for peers. */
    std::string peerAddress;
    /** ip:port for callers. */
    std::string callerAddress;
    core::domain_name domain;
    /** The member's present witness epoch as far as known. */
    std::uint64_t witnessEpoch = 0;

    bool operator==(const member &) const = default;
};

} // namespace comfreypass::membership
