#pragma once

#include "core/time_point.h"
#include "dispatch/request_kind.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace comfreypass::dispatch {

/** An upstream of a route and its share of the requests. */
struct route_target
{
    std::string upstream;
    /** Relative to the sum over the route's targets; 0 receives no requests. */
    double weight = 1;

    bool operator==(const route_target &) const = default;
};

/**
 * Callers abandon a stream after a pause of this time, of so many objectives or of so many of the
 * route's longest pauses, whichever is longest.
 */
constexpr core::duration minCallerPatience = std::chrono::seconds(2);
constexpr int patienceObjectives = 4;
constexpr int patiencePauses = 8;

/** Maps requests to upstreams and defines their limits and objectives. */
struct route
{
    std::string name;
    std::string host;
    /** Begins and ends with a slash. */
    std::string pathPrefix;
    request_kind kind = request_kind::NonIdempotent;
    /** Maximum duration of a request. */
    core::duration timeout{};
    /** Latency objective of the whole response, or of the first event of a stream. */
    core::duration objective{};
    /** Longest pause between two events of a stream that is on time; zero if not declared. */
    core::duration longestPause{};
    /** 0 is the highest priority. */
    std::uint32_t priority = 0;
    /** Maximum number of engines at which one request may run. */
    std::uint32_t maxAttempts = 1;
    /** Requests need no key. */
    bool isPublic = false;
    /** A stream may be resumed at another engine after the last received event. */
    bool resumable = false;
    std::vector<route_target> targets = {};

    /** Returns true if a request may be retried after an attempt with an unknown outcome. */
    bool retryable() const noexcept
    {
        return kind == request_kind::Idempotent || (kind == request_kind::Streaming && resumable);
    }

    /** Returns the shortest pause between two events after which callers abandon a stream. */
    core::duration callerPatience() const noexcept
    {
        return std::max<core::duration>(
            {minCallerPatience, patienceObjectives * objective, patiencePauses * longestPause});
    }

    bool operator==(const route &) const = default;
};

} // namespace comfreypass::dispatch
