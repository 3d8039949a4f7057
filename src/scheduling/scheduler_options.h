#pragma once

#include "core/time_point.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace comfreypass::scheduling {

/** Lease time that a scheduler asks for when the settings name none. */
constexpr core::duration defaultLease = std::chrono::milliseconds{1'500};

/**
 * A permit is void once its node has answered a poll this many rounds after the one it was granted
 * under. A later vote that does not list the permit therefore proves that it will never be used.
 */
constexpr std::uint64_t permitRounds = 3;

/** Values of a pool scheduler that do not come from the sheet. */
struct scheduler_options
{
    core::duration lease = defaultLease;
    std::size_t queueCapacity = 4'096;
    /** Time from the receipt of a permit within which it must be used. */
    core::duration permitValidity = std::chrono::milliseconds{1'000};
    /**
     * Longest remaining time of a request that is dispatched to a cold engine. A vote that was
     * gained from another scheduler counts for cold engines only after this time, because the
     * other scheduler's dispatches may run that long.
     */
    core::duration maxColdDispatch = std::chrono::seconds{120};
    /**
     * Time before its latest start at which a waiting request preempts lower-tier work; it covers
     * the round trip of the order. On a cold engine `cancelSettle` comes on top.
     */
    core::duration preemptLead = std::chrono::milliseconds{250};
    /**
     * A cancelled dispatch keeps its place on a cold engine for this time, because the engine works
     * on it until it notices the closed connection.
     */
    core::duration cancelSettle = std::chrono::milliseconds{500};
    /**
     * True if the owner passes on load reports of model engines, also that an engine has none
     * (epoch 0). Until the first one, nobody knows whether an engine is cold.
     */
    bool awaitLoadReports = false;
};

} // namespace comfreypass::scheduling
