#pragma once

#include "core/time_point.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace comfreypass::scheduling {

/** Lease time that a scheduler requests if the settings specify none. */
constexpr core::duration defaultLease = std::chrono::milliseconds{1'500};

/**
 * A permit is void once its node has voted in a round this many rounds after the one it was granted
 * under. A later vote that does not list the permit therefore proves that it will never be used.
 */
constexpr std::uint64_t permitRounds = 3;

/** Options of a pool scheduler that the sheet does not specify. */
struct scheduler_options
{
    core::duration lease = defaultLease;
    std::size_t queueCapacity = 4'096;
    /** Time from the receipt of a permit within which it must be used. */
    core::duration permitValidity = std::chrono::milliseconds{1'000};
    /**
     * Maximum remaining time of a request that is dispatched to a cold engine. A vote gained from
     * another scheduler counts for cold engines only after this time, because the other
     * scheduler's dispatches may run that long.
     */
    core::duration maxColdDispatch = std::chrono::seconds{120};
    /**
     * Time before its latest start at which a queued request preempts lower-tier work; it covers
     * the round trip of the order. On a cold engine `cancelSettle` is added.
     */
    core::duration preemptLead = std::chrono::milliseconds{250};
    /**
     * A cancelled dispatch keeps its slot on a cold engine for this time, because the engine works
     * on it until it detects the closed connection.
     */
    core::duration cancelSettle = std::chrono::milliseconds{500};
    /**
     * True if the owner forwards load reports of model engines, including the information that an
     * engine has none (epoch 0). Before the first report it is unknown whether an engine is cold.
     */
    bool awaitLoadReports = false;
};

} // namespace comfreypass::scheduling
