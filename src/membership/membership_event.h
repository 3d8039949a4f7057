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
    /** A suspect or dead member is alive again, with the same or a new incarnation. */
    Returned,
    /** A dead member that is no longer listed was removed. */
    Removed,
    /** A sheet with a greater key has been put in force. */
    SheetApplied,
    /** Two different sheets have the same revision. */
    SheetConflict,
    /** A sheet was not accepted; `detail` contains the reason. */
    SheetRejected,
    /** This process was paused: leases, lease grants and the confirmation have expired. */
    Paused,
    /** This node raised its incarnation; votes and claims of the old one are void. */
    IncarnationRaised,
    /** Another process uses this node's name; this process must stop dispatching. */
    Superseded,
};

/** Returns the stable lower-case name of an event. Thread-safe. */
std::string_view toString(event_kind kind) noexcept;

/** Change that the owner of the agent may handle or log. */
struct membership_event
{
    event_kind kind = event_kind::Joined;
    /** Affected member; for sheet events the sender, which is empty for the configuration service.
     */
    core::node_identity node;
    /** Affected sheet of a sheet event. */
    sheet::sheet_key sheet;
    std::string detail;
};

} // namespace comfreypass::membership
