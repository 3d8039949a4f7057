#pragma once

#include "core/time_point.h"

#include <chrono>
#include <cstdint>

namespace comfreypass::membership {

/** Timeouts, intervals and limits of the membership protocol. */
struct membership_settings
{
    /** Interval at which the owner calls membership_agent::tick(). */
    core::duration tickInterval = std::chrono::milliseconds(50);
    /** The process counts as paused if a tick is late by more than this. */
    core::duration pauseThreshold = std::chrono::milliseconds(500);
    /** Time after a pause during which twice as many misses are needed to suspect a neighbour. */
    core::duration pauseRecoveryTime = std::chrono::seconds(5);
    core::duration pingInterval = std::chrono::milliseconds(500);
    /** Consecutive pings without an ack until a neighbour is suspected. */
    std::uint32_t missesToSuspect = 3;
    /** Time a suspect has to refute before it is declared dead. */
    core::duration suspicionTime = std::chrono::milliseconds(1500);
    /** Time after which a dead member that is not in the instance list is removed. */
    core::duration removalDelay = std::chrono::seconds(60);
    core::duration viewSyncInterval = std::chrono::seconds(10);
    /** Interval between pings to dead members, which detect the end of a partition. */
    core::duration deadProbeInterval = std::chrono::seconds(1);
    /** Time without a reply after which a sheet is requested from another neighbour. */
    core::duration sheetRequestTimeout = std::chrono::milliseconds(500);
    /** Maximum age of a confirmation that allows a node to dispatch. */
    core::duration maxConfirmationAge = std::chrono::seconds(4);
    /** Confirmation age from which a node that is not a reader reads the service itself. */
    core::duration selfReadAge = std::chrono::seconds(3);
    /** Interval between the reads of a reader. */
    core::duration readInterval = std::chrono::milliseconds(500);
    /** Time after which a read of the service without a result counts as failed. */
    core::duration readTimeout = std::chrono::seconds(3);
    /** Maximum delay between two reads while the service fails. */
    core::duration maxReadBackoff = std::chrono::seconds(30);
    /** Number of nodes that read the configuration service regularly. */
    std::uint32_t readerCount = 3;
    /** Time a starting node waits for a peer before it is ready with the service's sheet alone. */
    core::duration startupPeerTimeout = std::chrono::seconds(2);
    /** Length of a witness epoch. */
    core::duration witnessEpochLength = std::chrono::seconds(60);
    /** Interval at which a node gossips its own witness epoch. */
    core::duration witnessEpochRefresh = std::chrono::minutes(10);
    /** Time since its first ack during which a node raises its incarnation above a greater one
     * instead of being superseded. */
    core::duration incarnationRaiseTime = std::chrono::seconds(30);
};

} // namespace comfreypass::membership
