#pragma once

#include "core/time_point.h"
#include "dispatch/engine_registry.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace comfreypass::gateway {

/** How a caller's request ended. */
enum class flow_outcome : std::uint8_t {
    /** The engine's whole answer was passed on. */
    Answered,
    /** Not allowed or malformed: 4xx of the gateway. */
    Rejected,
    /** Never ran: 429 or 503 of the gateway. */
    Refused,
    /** Outcome unknown: 502 of the gateway. */
    Failed,
    /** 504 of the gateway. */
    TimedOut,
    /** The answer was broken off after it had begun. */
    BrokenOff,
    /** The caller left. */
    CallerGone,
};

constexpr std::size_t flowOutcomes = 7;

/** Stable lower-case word, for logs and metrics. Thread-safe. */
std::string_view toString(flow_outcome outcome) noexcept;

/** What the log and the metrics say of one request. */
struct flow_record
{
    std::string attemptId;
    std::string route;
    std::string upstream;
    std::string team;
    std::string engine;
    std::uint32_t priority = 0;
    unsigned status = 0;
    flow_outcome outcome = flow_outcome::Answered;
    /** Why the outcome is what it is; a stable word. */
    std::string reason;
    std::uint32_t attempts = 0;
    std::uint64_t configurationVersion = 0;
    /** Load that decided the last choice of an engine. */
    std::uint32_t ownRunning = 0;
    std::uint32_t peersRunning = 0;
    bool coldEngine = false;
    core::duration waited{};
    /** Time to the first event or the whole answer; zero if there was none. */
    core::duration firstByte{};
    core::duration total{};
    core::duration objective{};
    std::uint64_t events = 0;
    double units = 0;
};

} // namespace comfreypass::gateway
