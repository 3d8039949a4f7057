#pragma once

#include "core/time_point.h"
#include "dispatch/request_kind.h"

#include <cstdint>
#include <string>
#include <vector>

namespace comfreypass::dispatch {

/** An upstream of a route and its part of the requests. */
struct route_target
{
    std::string upstream;
    /** Relative to the sum over the route's targets; 0 takes no requests. */
    double weight = 1;

    bool operator==(const route_target &) const = default;
};

/** Which requests go to which upstream, and what they are promised. */
struct route
{
    std::string name;
    std::string host;
    /** Begins and ends with a slash. */
    std::string pathPrefix;
    request_kind kind = request_kind::NonIdempotent;
    /** Longest time that a request is kept waiting. */
    core::duration timeout{};
    /** Latency objective: whole answer, or first event of a stream. */
    core::duration objective{};
    /** Rank; 0 is the most urgent. */
    std::uint32_t priority = 0;
    /** Engines on which one request may run. */
    std::uint32_t maxAttempts = 1;
    /** Needs no key. */
    bool isPublic = false;
    /** A stream may go on at another engine after the last event that arrived. */
    bool resumable = false;
    std::vector<route_target> targets = {};

    /** True if the request may run again after an attempt whose outcome is unknown. */
    bool repeatable() const noexcept
    {
        return kind == request_kind::Idempotent || (kind == request_kind::Streaming && resumable);
    }

    bool operator==(const route &) const = default;
};

} // namespace comfreypass::dispatch
