#pragma once

#include "core/time_point.h"
#include "dispatch/crash_signature.h"
#include "dispatch/engine_registry.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace comfreypass::gateway {

/** How a caller's request ended. */
enum class flow_outcome : std::uint8_t {
    /** The engine's complete response was forwarded. */
    Answered,
    /** Not allowed or malformed: the gateway responded 4xx. */
    Rejected,
    /** Never ran: the gateway responded 429 or 503. */
    Refused,
    /** May have run: the gateway responded 502. */
    Failed,
    /** The deadline passed: the gateway responded 504. */
    TimedOut,
    /** The response was aborted after it had started. */
    BrokenOff,
    /** The caller disconnected. */
    CallerGone,
};

constexpr std::size_t flowOutcomes = 7;

/** Returns the stable lower-case name used in logs and metrics. Thread-safe. */
std::string_view toString(flow_outcome outcome) noexcept;

/** Data of one request for the log and the metrics. */
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
    /** Stable name of the cause of the outcome. */
    std::string reason;
    /** The quarantined signature for which the request was refused; empty if it was not. */
    dispatch::crash_signature quarantined;
    std::uint32_t attempts = 0;
    std::uint64_t configurationVersion = 0;
    /** Load of the engine when it was selected for the last attempt. */
    std::uint32_t ownRunning = 0;
    std::uint32_t peersRunning = 0;
    bool coldEngine = false;
    core::duration waited{};
    /** Time to the first event or the complete response; zero if there was none. */
    core::duration firstByte{};
    /**
     * Actual minus predicted time from the start of the last attempt to its first event; none if
     * the upstream is not coordinated.
     */
    std::optional<core::duration> firstEventError;
    core::duration total{};
    /** Time from the last event that was forwarded to the end; zero if there was none. */
    core::duration sinceLastEvent{};
    core::duration objective{};
    /** Of coordinated upstreams, else zero: time spent before this attempt, and of a refusal. */
    core::duration callerAge{};
    core::duration retryAfter{};
    std::uint64_t events = 0;
    double units = 0;
};

} // namespace comfreypass::gateway
