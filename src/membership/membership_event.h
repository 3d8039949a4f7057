#pragma once

#include "core/incarnation.h"
#include "sheet/sheet_key.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace comfreypass::membership {

enum class event_kind : std::uint8_t {
    Joined,
    Suspect,
    Dead,
    Leaving,
    /** A suspect or dead member is alive again, in the same or a new incarnation. */
    Returned,
    /** A dead member that is no longer listed was removed. */
    Removed,
    /** A sheet with a greater key is in force. */
    SheetTaken,
    /** Two different sheets have the same revision. */
    SheetConflict,
    /** A sheet was not accepted; `detail` says why. */
    SheetRejected,
    /** This process was paused: leases, promises and the confirmation have expired. */
    Paused,
    /** This node took a greater incarnation; votes and claims of the old one are void. */
    IncarnationRaised,
    /** Another process took over this node's name; this one must not dispatch any more. */
    Superseded,
};

/** Stable lower-case word for an event. Thread-safe. */
std::string_view toString(event_kind kind) noexcept;

/** A change that the owner of the agent may act on or log. */
struct membership_event
{
    event_kind kind = event_kind::Joined;
    /** The member concerned; for sheets the sender, empty for the configuration service. */
    core::node_identity node;
    /** The sheet concerned, if the event is about one. */
    sheet::sheet_key sheet;
    std::string detail;
};

} // namespace comfreypass::membership
