#pragma once

#include "core/time_point.h"

#include <chrono>
#include <cstdint>

namespace comfreypass::membership {

/** Times and limits of the membership protocol; the defaults are those of the design. */
struct membership_settings
{
    /** How often the owner calls membership_agent::tick(). */
    core::duration tickInterval = std::chrono::milliseconds(50);
    /** A tick that is later than this shows that the process was paused. */
    core::duration pauseThreshold = std::chrono::milliseconds(500);
    /** How long after a pause the failure detector is more patient with others. */
    core::duration pauseRecoveryTime = std::chrono::seconds(5);
    core::duration pingInterval = std::chrono::milliseconds(500);
    /** Pings in a row without an ack before a neighbour is suspected. */
    std::uint32_t missesToSuspect = 3;
    /** Time a suspect has to refute. */
    core::duration suspicionTime = std::chrono::milliseconds(1500);
    /** A dead member that the instance list does not name is removed after this. */
    core::duration removalDelay = std::chrono::seconds(60);
    core::duration viewSyncInterval = std::chrono::seconds(10);
    /** Pause between two pings to members that are believed dead; they end a partition. */
    core::duration deadProbeInterval = std::chrono::seconds(1);
    /** Time without an answer after which a sheet is requested from another neighbour. */
    core::duration sheetRequestTimeout = std::chrono::milliseconds(500);
    /** Greatest age of a confirmation with which a node may dispatch. */
    core::duration confirmationLimit = std::chrono::seconds(4);
    /** Confirmation age at which a node that is no reader reads the service itself. */
    core::duration selfReadAge = std::chrono::seconds(3);
    /** Pause between two reads of a reader. */
    core::duration readInterval = std::chrono::milliseconds(500);
    /** A read of the service without a result is given up after this. */
    core::duration readTimeout = std::chrono::seconds(3);
    /** Largest pause between two reads while the service fails. */
    core::duration maxReadBackoff = std::chrono::seconds(30);
    /** Nodes that read the configuration service. */
    std::uint32_t readerCount = 3;
    /** How long a starting node waits for a listed peer before the service's sheet is enough. */
    core::duration startupPeerTimeout = std::chrono::seconds(2);
    /** Length of a witness epoch. */
    core::duration witnessEpochLength = std::chrono::seconds(60);
    /** How often a node spreads its own witness epoch. */
    core::duration witnessEpochRefresh = std::chrono::minutes(10);
    /** After this time since its start a node no longer raises its incarnation over a greater one.
     */
    core::duration incarnationRaiseTime = std::chrono::seconds(30);
};

} // namespace comfreypass::membership
