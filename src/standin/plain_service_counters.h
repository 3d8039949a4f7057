#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace comfreypass::standin {

/** Counters of a plain_service since its construction. */
struct plain_service_counters
{
    /** Number of executed bookings for each key. */
    std::map<std::string, std::uint32_t> bookingRuns;
    /** Number of requests for each X-Request-Id. */
    std::map<std::string, std::uint32_t> requestIds;
    std::uint64_t bookings = 0;
    std::uint64_t slotQueries = 0;
    std::uint64_t failures = 0;
    /** Bookings that were executed without a response. */
    std::uint64_t lostReplies = 0;
    /** Callers that disconnected before the response; their bookings are executed nevertheless. */
    std::uint64_t callersDisconnected = 0;
};

} // namespace comfreypass::standin
